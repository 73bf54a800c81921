package dev.ibishub.gateway.http;

import dev.ibishub.gateway.callers.CallerResources;
import dev.ibishub.gateway.callers.ConnectionMemory;
import dev.ibishub.gateway.callers.ResponseMemory;
import dev.ibishub.gateway.callers.StrictRequestDecoder;
import dev.ibishub.gateway.model.CallerLimits;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.flow.FlowControlHandler;
import java.net.InetSocketAddress;
import java.util.function.Function;

/**
 * HTTP server for small pages that are computed without blocking: readiness, addresses, metrics.
 * Thread-safe.
 */
public final class PageServer {
  private static final int BACKLOG = 512;

  /** Bounds how many small requests are decoded ahead. */
  private static final RecvByteBufAllocator READ_BUFFERS =
      new AdaptiveRecvByteBufAllocator(64, 512, 1_024).maxMessagesPerRead(1);

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
   * @param resources what the port may take of the process
   * @param pages makes the page for a request's path and query; must not block
   * @return the listening channel
   */
  public static Channel listen(
      EventLoopGroup group,
      InetSocketAddress address,
      CallerResources resources,
      Function<String, Page> pages) {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.RECVBUF_ALLOCATOR, READ_BUFFERS)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                resources
                    .admit(channel)
                    .ifPresentOrElse(
                        memory -> addHandlers(channel, memory, resources, pages), channel::close);
              }
            })
        .bind(address)
        .syncUninterruptibly()
        .channel();
  }

  private static void addHandlers(
      Channel channel,
      ConnectionMemory memory,
      CallerResources resources,
      Function<String, Page> pages) {
    channel
        .pipeline()
        .addLast(new StrictRequestDecoder(CallerLimits.DEFAULTS, memory))
        .addLast(new HttpResponseEncoder())
        .addLast(new ResponseMemory(memory, resources.unwritten()))
        .addLast(new FlowControlHandler())
        .addLast(new PageConnection(pages));
  }
}
