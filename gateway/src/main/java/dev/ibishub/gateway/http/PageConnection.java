package dev.ibishub.gateway.http;

import dev.ibishub.gateway.http.PageServer.Page;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/**
 * Handler of one connection to a {@link PageServer}. Reads a request only once the response to the
 * one before has been written. Runs on the connection's event loop; not thread-safe.
 */
final class PageConnection extends ChannelInboundHandlerAdapter {
  /**
   * Time for a connection to be idle and to send the head of its next request, or to read a
   * response, milliseconds.
   */
  private static final long TIMEOUT_MILLIS = 30_000;

  /**
   * Pause between two requests of a connection, milliseconds, which leaves the event loop to
   * callers' requests.
   */
  private static final long PAUSE_MILLIS = 20;

  private static final int BAD_REQUEST = 400;
  private static final int TOO_LARGE = 413;

  private final Function<String, Page> pages;
  private Future<?> timeout;
  private boolean keepsAlive = true;

  PageConnection(Function<String, Page> pages) {
    this.pages = pages;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    restartTimeout(context);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    timeout.cancel(false);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (message instanceof HttpRequest request && keepsAlive) {
        context.channel().config().setAutoRead(false);
        respond(context, request);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void respond(ChannelHandlerContext context, HttpRequest request) {
    Optional<Page> rejection = rejection(request);
    keepsAlive = rejection.isEmpty() && HttpUtil.isKeepAlive(request);
    Page page = rejection.orElseGet(() -> pages.apply(request.uri()));
    boolean isHead = request.method().equals(HttpMethod.HEAD);
    byte[] body = page.text().getBytes(StandardCharsets.UTF_8);
    var response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(page.status()),
            isHead ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, page.contentType());
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    HttpUtil.setKeepAlive(response, keepsAlive);
    ChannelFuture written = context.writeAndFlush(response);
    if (!keepsAlive) {
      written.addListener(ChannelFutureListener.CLOSE);
      return;
    }
    written.addListener(
        done ->
            context
                .executor()
                .schedule(() -> continueAfterPause(context), PAUSE_MILLIS, TimeUnit.MILLISECONDS));
  }

  private void continueAfterPause(ChannelHandlerContext context) {
    restartTimeout(context);
    context.channel().config().setAutoRead(true);
  }

  private static Optional<Page> rejection(HttpRequest request) {
    if (!request.decoderResult().isSuccess()) {
      return Optional.of(Page.text(BAD_REQUEST, "unreadable request\n"));
    }
    boolean hasBody =
        HttpUtil.isTransferEncodingChunked(request) || HttpUtil.getContentLength(request, 0L) > 0;
    return hasBody
        ? Optional.of(Page.text(TOO_LARGE, "requests for pages have no body\n"))
        : Optional.empty();
  }

  private void restartTimeout(ChannelHandlerContext context) {
    if (timeout != null) {
      timeout.cancel(false);
    }
    timeout =
        context.executor().schedule(() -> context.close(), TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    // The client disconnected, so no response can be sent.
    context.close();
  }
}
