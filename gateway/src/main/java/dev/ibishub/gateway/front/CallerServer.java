package dev.ibishub.gateway.front;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Takes callers' connections. Thread-safe.
 *
 * <p>Netty's HTTP codec stands here instead of the JDK's server, which does not show that a caller
 * left while its request is under way, can't refuse a request before its body is in, and can't
 * close a kept connection at a chosen moment.
 */
public final class CallerServer {
  private static final int BACKLOG = 1_024;

  private final RequestContext context;
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final AtomicInteger inFlight = new AtomicInteger();
  private Channel listening;

  public CallerServer(RequestContext context) {
    this.context = context;
  }

  /** Listens; the call returns when callers can connect. */
  public void listen(EventLoopGroup group, InetSocketAddress address) {
    listening =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    connections.add(channel);
                    ArrivalWatch watch = new ArrivalWatch(context.limits());
                    channel
                        .pipeline()
                        .addLast(watch)
                        .addLast(new StrictRequestDecoder(context.limits()))
                        .addLast(new HttpResponseEncoder())
                        .addLast(new CallerConnection(context, watch, inFlight));
                  }
                })
            .bind(address)
            .syncUninterruptibly()
            .channel();
  }

  /** Returns how many requests are under way. */
  public int inFlight() {
    return inFlight.get();
  }

  /** Takes no new connections and closes those on which nothing is under way or left to write. */
  public void close() {
    listening.close().syncUninterruptibly();
    connections.close().awaitUninterruptibly();
  }
}
