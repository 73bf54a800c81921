package dev.ibishub.gateway.callers;

import dev.ibishub.core.ResultCode;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;

/**
 * Writer of the one response to a caller's request. Runs on the event loop of the caller's
 * connection; not thread-safe.
 */
public final class CallerResponse {
  /** Values of {@code SO_LINGER}. */
  private static final int RESET_ON_CLOSE = 0;

  private static final int CLOSE_GRACEFULLY = -1;

  private final Channel channel;
  private final boolean isHeadRequest;
  private final boolean callerKeepsAlive;
  private final boolean callerAcceptsChunks;
  private final BooleanSupplier isLeaving;
  private boolean isHeadWritten;
  private boolean isEndedByClose;
  private boolean isLast;

  /**
   * Creates the writer of one response.
   *
   * @param isLeaving whether this process is about to stop, in which case connections close after
   *     their response
   */
  public CallerResponse(Channel channel, HttpRequest request, BooleanSupplier isLeaving) {
    this.channel = channel;
    this.isHeadRequest = request.method().equals(HttpMethod.HEAD);
    this.callerKeepsAlive = HttpUtil.isKeepAlive(request);
    this.callerAcceptsChunks = request.protocolVersion().equals(HttpVersion.HTTP_1_1);
    this.isLeaving = isLeaving;
  }

  /** Whether the head has been written, after which no other response can be given. */
  public boolean isHeadWritten() {
    return isHeadWritten;
  }

  /** Whether the connection is closed after this response, or was closed within it. */
  public boolean isLast() {
    return isLast;
  }

  /**
   * Whether more bytes can be written without exceeding the high watermark of the connection's
   * write buffer.
   */
  public boolean isWritable() {
    return channel.isWritable();
  }

  /** Writes a complete response. */
  public ChannelFuture writeWhole(int status, HttpHeaders headers, byte[] body) {
    isHeadWritten = true;
    var response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            isHeadRequest ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body));
    response.headers().set(headers);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    boolean keepAlive = keepsAlive();
    HttpUtil.setKeepAlive(response, keepAlive);
    return closeUnlessKeptAlive(channel.writeAndFlush(response), keepAlive);
  }

  /**
   * Writes a refusal with its result code.
   *
   * @param retryMillis value of {@code Retry-After}, milliseconds; 0 to send none
   */
  public void writeRefusal(ResultCode code, long retryMillis) {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    if (retryMillis > 0) {
      headers.set(
          HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.2f", retryMillis / 1_000.0));
    }
    String body = "{\"code\":" + code.number() + ",\"result\":\"" + code.name() + "\"}\n";
    writeWhole(code.httpStatus(), headers, body.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Writes the head of a response whose body follows in pieces.
   *
   * @param bodyLength length of the body, bytes; empty if it isn't known
   */
  public void writeHead(int status, HttpHeaders headers, OptionalLong bodyLength) {
    isHeadWritten = true;
    var response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    response.headers().set(headers);
    if (bodyLength.isPresent()) {
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bodyLength.getAsLong());
    } else if (callerAcceptsChunks) {
      response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    } else {
      // The close ends the body, so a connection that is closed before has to be reset.
      isEndedByClose = true;
      setLinger(RESET_ON_CLOSE);
    }
    HttpUtil.setKeepAlive(response, keepsAlive());
    channel.write(response);
  }

  /** Writes a piece of the body. */
  public void writePiece(byte[] bytes) {
    channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
  }

  /** Completes a response whose head was written. */
  public void finish() {
    if (isEndedByClose) {
      setLinger(CLOSE_GRACEFULLY);
    }
    closeUnlessKeptAlive(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), keepsAlive());
  }

  /**
   * Closes the connection, so that the caller does not take the partial response for a complete
   * one.
   */
  public void abort() {
    isLast = true;
    channel.close();
  }

  private void setLinger(int value) {
    if (channel.isOpen()) {
      channel.config().setOption(ChannelOption.SO_LINGER, value);
    }
  }

  private boolean keepsAlive() {
    return callerKeepsAlive && callerAcceptsChunks && !isLeaving.getAsBoolean();
  }

  private ChannelFuture closeUnlessKeptAlive(ChannelFuture written, boolean keepAlive) {
    isLast = !keepAlive;
    return keepAlive ? written : written.addListener(ChannelFutureListener.CLOSE);
  }
}
