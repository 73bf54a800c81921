package dev.ibishub.wire;

import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.wire.generated.Frame;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
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
import java.util.function.Consumer;

/**
 * Opens and accepts links. One instance serves a whole process; it is thread-safe.
 *
 * <pre>{@code
 * WireTransport transport = WireTransport.create(identity, Optional.empty());
 * int port = transport.listen("127.0.0.1", 0, listener).join();
 * transport.connect("127.0.0.1", port, listener);
 * }</pre>
 */
public final class WireTransport implements AutoCloseable {
  /** A ping goes out after this much silence on the sending side, in milliseconds. */
  static final long HEARTBEAT_MILLIS = 500;

  /** A peer that sent nothing for this long counts as lost, in milliseconds. */
  static final long SILENCE_MILLIS = 2_000;

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  /** A longer frame closes the link, so that no peer can make this process fill its memory. */
  static final int MAXIMUM_FRAME_BYTES = 16 << 20;

  private static final int MOST_FLUSHES_HELD = 64;
  private static final int LENGTH_BYTES = 4;
  private static final int IO_THREADS = 4;

  private final Identity identity;
  private final Optional<TlsContexts> tls;
  private final EventLoopGroup group;

  private WireTransport(Identity identity, Optional<TlsContexts> tls, EventLoopGroup group) {
    this.identity = identity;
    this.tls = tls;
    this.group = group;
  }

  /**
   * Creates a transport; threads are started when it is first used.
   *
   * @param identity who this process is
   * @param tls the certificates, or empty for plain TCP
   */
  public static WireTransport create(Identity identity, Optional<TlsContexts> tls) {
    return new WireTransport(
        identity, tls, new MultiThreadIoEventLoopGroup(IO_THREADS, NioIoHandler.newFactory()));
  }

  /**
   * Creates a transport without TLS on threads that the process has already.
   *
   * @param identity who this process is
   * @param group the threads; closed with the transport
   */
  public static WireTransport sharing(Identity identity, EventLoopGroup group) {
    return new WireTransport(identity, Optional.empty(), group);
  }

  /**
   * Accepts links.
   *
   * @param host an IP number of this VM
   * @param port the port, 0 for any that is free
   * @param listener takes what happens on the links
   * @return the port listened on; fails with {@code TARGET_UNREACHABLE} when it cannot be had
   */
  public CompletableFuture<Integer> listen(String host, int port, LinkListener listener) {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(pipeline(false, listener, refused -> {}));
    CompletableFuture<Integer> bound = new CompletableFuture<>();
    var future = bootstrap.bind(new InetSocketAddress(host, port));
    future.addListener(
        result -> {
          if (result.isSuccess()) {
            bound.complete(((InetSocketAddress) future.channel().localAddress()).getPort());
            return;
          }
          bound.completeExceptionally(unreachable(host, port, result.cause()));
        });
    return bound;
  }

  /**
   * Opens a link. Success shows as {@link LinkListener#onOpen}.
   *
   * @param host an IP number
   * @param port the peer's port
   * @param listener takes what happens on the link
   * @return done when the handshake is over; fails with {@code TARGET_UNREACHABLE}
   */
  public CompletableFuture<Link> connect(String host, int port, LinkListener listener) {
    CompletableFuture<Link> opened = new CompletableFuture<>();
    Consumer<Throwable> onRefused =
        cause -> opened.completeExceptionally(unreachable(host, port, cause));
    LinkListener completing = new CompletingListener(listener, opened);
    new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .handler(pipeline(true, completing, onRefused))
        .connect(new InetSocketAddress(host, port))
        .addListener(
            result -> {
              if (!result.isSuccess()) {
                onRefused.accept(result.cause());
              }
            });
    return opened;
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private ChannelInitializer<Channel> pipeline(
      boolean opener, LinkListener listener, Consumer<Throwable> onRefused) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel channel) {
        Optional<SslContext> context =
            tls.map(contexts -> opener ? contexts.client() : contexts.server());
        context.ifPresent(
            present -> channel.pipeline().addLast(present.newHandler(channel.alloc())));
        channel
            .pipeline()
            .addLast(
                new IdleStateHandler(SILENCE_MILLIS, HEARTBEAT_MILLIS, 0, TimeUnit.MILLISECONDS))
            // Many small frames leave at once under load; one system call then carries them all.
            .addLast(new FlushConsolidationHandler(MOST_FLUSHES_HELD, true))
            .addLast(
                new LengthFieldBasedFrameDecoder(
                    MAXIMUM_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
            .addLast(new ProtobufDecoder(Frame.getDefaultInstance()))
            .addLast(new LengthFieldPrepender(LENGTH_BYTES))
            .addLast(new ProtobufEncoder())
            .addLast(new FrameHandler(identity, listener, opener, onRefused));
      }
    };
  }

  private static ResultException unreachable(String host, int port, Throwable cause) {
    ResultException failure =
        new ResultException(
            ResultCode.TARGET_UNREACHABLE, host + ":" + port + ": " + cause.getMessage());
    failure.initCause(cause);
    return failure;
  }

  /** Completes a future on the first call and passes all on. */
  private record CompletingListener(LinkListener next, CompletableFuture<Link> opened)
      implements LinkListener {
    @Override
    public void onOpen(Link link) {
      next.onOpen(link);
      opened.complete(link);
    }

    @Override
    public void onFrame(Link link, Frame frame) {
      next.onFrame(link, frame);
    }

    @Override
    public void onClose(Link link) {
      next.onClose(link);
    }
  }
}
