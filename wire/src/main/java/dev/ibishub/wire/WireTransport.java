package dev.ibishub.wire;

import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.wire.generated.Frame;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Opens and accepts links. One instance serves a whole process. Thread-safe.
 *
 * <pre>{@code
 * WireTransport transport = WireTransport.create(identity, Optional.empty());
 * int port = transport.listen("127.0.0.1", 0, listener).join();
 * transport.connect("127.0.0.1", port, listener);
 * }</pre>
 */
public final class WireTransport implements AutoCloseable {
  /** Time without sending after which a ping is sent, in milliseconds. */
  static final long HEARTBEAT_INTERVAL_MILLIS = 500;

  /** Time without receiving after which the link is closed, in milliseconds. */
  static final long RECEIVE_TIMEOUT_MILLIS = 2_000;

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  /** A longer frame closes the link, so that no peer can exhaust the memory of this process. */
  static final int MAXIMUM_FRAME_BYTES = 16 << 20;

  /**
   * An event loop reads one buffer of each link in turn, so that a link on which much arrives does
   * not keep it from its other connections.
   */
  private static final RecvByteBufAllocator ONE_BUFFER_PER_READ =
      new AdaptiveRecvByteBufAllocator().maxMessagesPerRead(1);

  private static final int MAXIMUM_CONSOLIDATED_FLUSHES = 64;
  private static final int LENGTH_FIELD_BYTES = 4;
  private static final int IO_THREADS = 4;

  private final Identity identity;
  private final Optional<TlsContexts> tls;
  private final EventLoopGroup group;
  private final AtomicLong rejected = new AtomicLong();
  private final FrameMemory incompleteFrames;
  private final Strangers strangers;

  private WireTransport(
      Identity identity, Optional<TlsContexts> tls, EventLoopGroup group, LinkLimits limits) {
    this.identity = identity;
    this.tls = tls;
    this.group = group;
    this.incompleteFrames = new FrameMemory(limits.incompleteFrameBytes());
    this.strangers = new Strangers(limits.maximumHandshakes(), rejected);
  }

  /**
   * Creates a transport with I/O threads of its own, which start at the first use.
   *
   * @param identity identity that this process presents to its peers
   * @param tls the TLS contexts, or empty for plain TCP
   */
  public static WireTransport create(Identity identity, Optional<TlsContexts> tls) {
    return new WireTransport(
        identity,
        tls,
        new MultiThreadIoEventLoopGroup(IO_THREADS, NioIoHandler.newFactory()),
        LinkLimits.defaults());
  }

  /**
   * Creates a transport without TLS on an existing event loop group.
   *
   * @param identity identity that this process presents to its peers
   * @param group the I/O threads; shut down when the transport is closed
   * @param limits what connections to the port for links may take
   */
  public static WireTransport createOnGroup(
      Identity identity, EventLoopGroup group, LinkLimits limits) {
    return new WireTransport(identity, Optional.empty(), group, limits);
  }

  /** Returns how many accepted connections were closed before their handshake was complete. */
  public long rejectedConnections() {
    return rejected.get();
  }

  /**
   * Starts to accept links.
   *
   * @param host an IP address of this VM
   * @param port the port, or 0 for any free one
   * @param listener receives the events of the accepted links
   * @return the bound port; fails with {@code TARGET_UNREACHABLE} when the port cannot be bound
   */
  public CompletableFuture<Integer> listen(String host, int port, LinkListener listener) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, ONE_BUFFER_PER_READ)
            .childHandler(pipeline(false, listener, cause -> {}));
    CompletableFuture<Integer> boundPort = new CompletableFuture<>();
    var future = bootstrap.bind(new InetSocketAddress(host, port));
    future.addListener(
        result -> {
          if (result.isSuccess()) {
            boundPort.complete(((InetSocketAddress) future.channel().localAddress()).getPort());
            return;
          }
          boundPort.completeExceptionally(unreachable(host, port, result.cause()));
        });
    return boundPort;
  }

  /**
   * Opens a link. On success {@link LinkListener#onOpen} is called before the result completes.
   *
   * @param host IP address of the peer, which is never looked up as a name
   * @param port port of the peer
   * @param listener receives the events of the link
   * @return the link once its handshake is complete; fails with {@code TARGET_UNREACHABLE} when the
   *     address is none, or the connection or the handshake fails
   */
  public CompletableFuture<Link> connect(String host, int port, LinkListener listener) {
    CompletableFuture<Link> opened = new CompletableFuture<>();
    Consumer<Throwable> onFailure =
        cause -> opened.completeExceptionally(unreachable(host, port, cause));
    InetSocketAddress address;
    try {
      address = NumericAddresses.of(host, port);
    } catch (IllegalArgumentException e) {
      onFailure.accept(e);
      return opened;
    }
    LinkListener completing = new CompletingListener(listener, opened);
    new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.RECVBUF_ALLOCATOR, ONE_BUFFER_PER_READ)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .handler(pipeline(true, completing, onFailure))
        .connect(address)
        .addListener(
            result -> {
              if (!result.isSuccess()) {
                onFailure.accept(result.cause());
              }
            });
    return opened;
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private ChannelInitializer<Channel> pipeline(
      boolean initiator, LinkListener listener, Consumer<Throwable> onFailure) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel channel) {
        FrameDecoder decoder =
            new FrameDecoder(MAXIMUM_FRAME_BYTES, LENGTH_FIELD_BYTES, incompleteFrames);
        if (!initiator) {
          strangers.add(channel);
        }
        Optional<SslContext> context =
            tls.map(contexts -> initiator ? contexts.client() : contexts.server());
        context.ifPresent(
            present -> channel.pipeline().addLast(present.newHandler(channel.alloc())));
        channel
            .pipeline()
            .addLast(
                new IdleStateHandler(
                    RECEIVE_TIMEOUT_MILLIS, HEARTBEAT_INTERVAL_MILLIS, 0, TimeUnit.MILLISECONDS))
            // Under load many small frames are sent together; this saves system calls.
            .addLast(new FlushConsolidationHandler(MAXIMUM_CONSOLIDATED_FLUSHES, true))
            .addLast(decoder)
            .addLast(new ProtobufDecoder(Frame.getDefaultInstance()))
            .addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES))
            .addLast(new ProtobufEncoder())
            .addLast(
                new FrameHandler(
                    identity, listener, initiator, () -> onHandshake(channel, decoder), onFailure));
      }
    };
  }

  private void onHandshake(Channel channel, FrameDecoder decoder) {
    decoder.onHandshake();
    strangers.remove(channel);
  }

  private static ResultException unreachable(String host, int port, Throwable cause) {
    ResultException failure =
        new ResultException(
            ResultCode.TARGET_UNREACHABLE, host + ":" + port + ": " + cause.getMessage());
    failure.initCause(cause);
    return failure;
  }

  /** Completes a future when the link opens, and forwards all calls. */
  private record CompletingListener(LinkListener delegate, CompletableFuture<Link> opened)
      implements LinkListener {
    @Override
    public void onOpen(Link link) {
      delegate.onOpen(link);
      opened.complete(link);
    }

    @Override
    public void onFrame(Link link, Frame frame) {
      delegate.onFrame(link, frame);
    }

    @Override
    public void onClose(Link link) {
      delegate.onClose(link);
    }
  }
}
