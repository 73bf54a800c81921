package dev.ibishub.gateway.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;

/**
 * HTTP server for small pages that are computed without blocking: readiness, addresses, metrics.
 * Thread-safe.
 */
public final class PageServer {
  private static final int MAXIMUM_REQUEST_BYTES = 16_384;
  private static final int BACKLOG = 512;

  /** Time without any received bytes after which a connection is closed, seconds. */
  private static final int IDLE_SECONDS = 30;

  private PageServer() {}

  /**
   * Response to a page request.
   *
   * @param status HTTP status
   * @param contentType media type of the text
   * @param text the body
   */
  public record Page(int status, String contentType, String text) {
    /** Returns a plain-text page. */
    public static Page text(int status, String text) {
      return new Page(status, "text/plain; charset=utf-8", text);
    }
  }

  /**
   * Starts to listen at an address.
   *
   * @param group the event loops that serve connections
   * @param address IP address and port
   * @param pages makes the page for a request's path and query; must not block
   * @return the listening channel
   */
  public static Channel listen(
      EventLoopGroup group, InetSocketAddress address, Function<String, Page> pages) {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel
                    .pipeline()
                    .addLast(new ReadTimeoutHandler(IDLE_SECONDS))
                    .addLast(new HttpServerCodec())
                    .addLast(new HttpObjectAggregator(MAXIMUM_REQUEST_BYTES))
                    .addLast(new PageHandler(pages));
              }
            })
        .bind(address)
        .syncUninterruptibly()
        .channel();
  }

  private static final class PageHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final Function<String, Page> pages;

    PageHandler(Function<String, Page> pages) {
      this.pages = pages;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      boolean isReadable = request.decoderResult().isSuccess();
      Page page = isReadable ? pages.apply(request.uri()) : Page.text(400, "unreadable request\n");
      byte[] body = page.text().getBytes(StandardCharsets.UTF_8);
      var response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              HttpResponseStatus.valueOf(page.status()),
              Unpooled.wrappedBuffer(body));
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, page.contentType());
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
      boolean keepAlive = isReadable && HttpUtil.isKeepAlive(request);
      HttpUtil.setKeepAlive(response, keepAlive);
      var written = context.writeAndFlush(response);
      if (!keepAlive) {
        written.addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      // The client disconnected or timed out, so no response can be sent.
      context.close();
    }
  }
}
