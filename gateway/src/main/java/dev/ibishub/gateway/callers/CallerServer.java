package dev.ibishub.gateway.callers;

import dev.ibishub.gateway.model.CallerLimits;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/**
 * HTTP server for callers, on the platform of ibishub's users and behind ibishub's own interface.
 * Thread-safe.
 *
 * <p>Built on Netty's HTTP codec instead of the JDK's server, which does not show that a caller
 * disconnected while its request is in flight, can't refuse a request before its body has arrived,
 * and can't close a kept-alive connection at a chosen moment.
 */
public final class CallerServer {
  private static final int BACKLOG = 1_024;

  /** Most connections beyond the bound that are told so at a time; others are closed at once. */
  private static final int MAXIMUM_REFUSALS = 64;

  /** Bytes of responses that wait in a connection, before targets are no longer read for it. */
  private static final WriteBufferWaterMark UNWRITTEN_BYTES =
      new WriteBufferWaterMark(16 << 10, 32 << 10);

  /** Most bytes of one read, which bounds how long one connection holds the event loop. */
  private static final int MAXIMUM_READ_BYTES = 16 << 10;

  /** Most reads of one connection before others have their turn. */
  private static final int MAXIMUM_READS = 16;

  private final Supplier<CallerLimits> limits;
  private final CallerExchange.Factory exchanges;
  private final CallerResources resources;
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicInteger refusals = new AtomicInteger();
  private Channel serverChannel;

  /**
   * Creates a server.
   *
   * @param limits the limits for callers' requests and connections
   * @param exchanges creates the exchange of each request that arrived whole
   * @param resources what callers may take of the process
   */
  public CallerServer(
      Supplier<CallerLimits> limits, CallerExchange.Factory exchanges, CallerResources resources) {
    this.limits = limits;
    this.exchanges = exchanges;
    this.resources = resources;
  }

  /** Starts to listen; returns when callers can connect. */
  public void listen(EventLoopGroup group, InetSocketAddress address) {
    serverChannel =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, readsToTheEnd())
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, UNWRITTEN_BYTES)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    accept(channel);
                  }
                })
            .bind(address)
            .syncUninterruptibly()
            .channel();
  }

  private void accept(Channel channel) {
    connections.add(channel);
    resources
        .admit(channel)
        .ifPresentOrElse(memory -> addHandlers(channel, memory), () -> refuse(channel));
  }

  private void addHandlers(Channel channel, ConnectionMemory memory) {
    RequestReadMonitor monitor = new RequestReadMonitor(limits.get());
    channel
        .pipeline()
        .addLast(monitor)
        .addLast(new StrictRequestDecoder(limits.get(), memory))
        .addLast(new HttpResponseEncoder())
        .addLast(new ResponseMemory(memory, resources.unwritten()))
        .addLast(new CallerConnection(limits, exchanges, monitor, inFlight, resources, memory));
  }

  private void refuse(Channel channel) {
    if (refusals.incrementAndGet() > MAXIMUM_REFUSALS) {
      refusals.decrementAndGet();
      channel.close();
      return;
    }
    channel.closeFuture().addListener(closed -> refusals.decrementAndGet());
    channel.pipeline().addLast(new HttpResponseEncoder()).addLast(new ConnectionRefusal(exchanges));
  }

  /**
   * Returns an allocator with which each read goes on until nothing is left, so that a close is
   * read together with the request before it.
   */
  private static RecvByteBufAllocator readsToTheEnd() {
    return new AdaptiveRecvByteBufAllocator(64, 2_048, MAXIMUM_READ_BYTES)
        .respectMaybeMoreData(false)
        .maxMessagesPerRead(MAXIMUM_READS);
  }

  /** Returns the address at which callers can connect, once the server listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) serverChannel.localAddress();
  }

  /** Returns the number of requests in flight, until their response is handed to the connection. */
  public int inFlight() {
    return inFlight.get();
  }

  /** Returns the counts of what connections have not written of responses. */
  public UnwrittenResponses unwritten() {
    return resources.unwritten();
  }

  /** Whether a request is in flight, or a response isn't written to its connection. */
  public boolean isBusy() {
    return inFlight() > 0 || unwritten().responses() > 0;
  }

  /**
   * Stops listening and closes all connections, also those with a request in flight or with a
   * response that isn't written.
   */
  public void close() {
    serverChannel.close().syncUninterruptibly();
    connections.close().awaitUninterruptibly();
  }
}
