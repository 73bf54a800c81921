package dev.ibishub.node;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/**
 * Connections that send what they are told to, read their responses slowly or not at all, and open
 * again when they are closed. Closing the crowd closes all connections. Thread-safe.
 */
final class Crowd implements AutoCloseable {
  private static final int RECEIVE_BUFFER_BYTES = 4_096;
  private static final int READ_BYTES = 1_024;
  private static final long READ_MILLIS = 500;
  private static final long REOPEN_MILLIS = 200;
  private static final long RESET_MILLIS = 700;

  private final EventLoopGroup group;
  private final InetSocketAddress address;
  private final Behavior behavior;
  private final ChannelGroup connections;
  private volatile boolean isOver;

  /**
   * What each connection does.
   *
   * @param first bytes that it sends once it is open
   * @param repeated bytes that it sends again and again for as long as its peer reads them; may be
   *     empty
   * @param reads whether it reads, {@value #READ_BYTES} bytes each {@value #READ_MILLIS} ms
   * @param resets whether it is reset by the client after {@value #RESET_MILLIS} ms
   */
  record Behavior(String first, String repeated, boolean reads, boolean resets) {
    Behavior(String first, String repeated, boolean reads) {
      this(first, repeated, reads, false);
    }

    /** Sends bytes, and resets the connection in the midst of the response. */
    static Behavior sendsAndResets(String bytes) {
      return new Behavior(bytes, "", true, true);
    }

    /** Sends bytes and reads nothing. */
    static Behavior sends(String bytes) {
      return new Behavior(bytes, "", false);
    }

    /** Sends bytes and reads responses slowly. */
    static Behavior sendsAndReadsSlowly(String bytes) {
      return new Behavior(bytes, "", true);
    }

    /** Sends bytes without end and reads nothing. */
    static Behavior sendsWithoutEnd(String bytes) {
      return new Behavior("", bytes, false);
    }
  }

  private Crowd(EventLoopGroup group, InetSocketAddress address, Behavior behavior) {
    this.group = group;
    this.address = address;
    this.behavior = behavior;
    this.connections = new DefaultChannelGroup(group.next());
  }

  /** Opens connections to an address. */
  static Crowd open(EventLoopGroup group, InetSocketAddress to, int connections, Behavior each) {
    Crowd crowd = new Crowd(group, to, each);
    IntStream.range(0, connections).forEach(any -> crowd.connect());
    return crowd;
  }

  private void connect() {
    if (isOver) {
      return;
    }
    new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        .option(ChannelOption.AUTO_READ, false)
        .option(ChannelOption.MAX_MESSAGES_PER_READ, 1)
        .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(READ_BYTES))
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel connection) {
                connection.pipeline().addLast(new Connection());
              }
            })
        .connect(address)
        .addListener(
            connecting -> {
              if (!connecting.isSuccess()) {
                reopenLater(((ChannelFuture) connecting).channel());
              }
            });
  }

  private void reopenLater(Channel ended) {
    if (!group.isShuttingDown()) {
      group.next().schedule(this::connect, REOPEN_MILLIS, TimeUnit.MILLISECONDS);
    }
    ended.close();
  }

  /** Ends all connections. */
  @Override
  public void close() {
    isOver = true;
    connections.close().awaitUninterruptibly();
  }

  private final class Connection extends ChannelInboundHandlerAdapter {
    private Optional<Future<?>> reading = Optional.empty();

    @Override
    public void channelActive(ChannelHandlerContext context) {
      connections.add(context.channel());
      if (isOver) {
        context.close();
        return;
      }
      context.writeAndFlush(bytes(behavior.first())).addListener(written -> send(context));
      if (behavior.resets()) {
        context.executor().schedule(() -> reset(context), RESET_MILLIS, TimeUnit.MILLISECONDS);
      }
      if (behavior.reads()) {
        reading =
            Optional.of(
                context
                    .executor()
                    .scheduleAtFixedRate(
                        context::read, READ_MILLIS, READ_MILLIS, TimeUnit.MILLISECONDS));
      }
    }

    private void reset(ChannelHandlerContext context) {
      context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
      context.close();
    }

    private void send(ChannelHandlerContext context) {
      if (!behavior.repeated().isEmpty() && context.channel().isActive()) {
        context
            .writeAndFlush(bytes(behavior.repeated()))
            .addListener(written -> context.executor().execute(() -> send(context)));
      }
    }

    private static ByteBuf bytes(String text) {
      return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      ReferenceCountUtil.release(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      reading.ifPresent(each -> each.cancel(false));
      reopenLater(context.channel());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
