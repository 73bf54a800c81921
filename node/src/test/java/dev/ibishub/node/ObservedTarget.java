package dev.ibishub.node;

import dev.ibishub.runtime.MonotonicClock;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A target that notices when the connection of a request closes, and ends under requests with
 * certain parts. The path of a request names what it does: {@code /stream/KIND/ID}. Thread-safe.
 */
final class ObservedTarget implements AutoCloseable {
  /** Kind of requests that are answered at once. */
  static final String SHORT = "short";

  /** Kind of requests whose answer begins at once and goes on until the connection closes. */
  static final String ENDLESS = "endless";

  /** Kind of requests that are not answered at all. */
  static final String MUTE = "mute";

  private static final int MAXIMUM_BODY_BYTES = 1 << 16;
  private static final long EVENT_MILLIS = 100;

  /**
   * A run of a request. Times are milliseconds of the monotonic clock.
   *
   * @param id the request's id
   */
  record Run(String id, long startedAt, long endedAt) {}

  /**
   * Where a target reports to.
   *
   * @param onRun called when a run has ended
   * @param onCrash called when the target ends under a request with a crashing part
   */
  record Listener(Consumer<Run> onRun, Consumer<ObservedTarget> onCrash) {}

  private final String id;
  private final Listener listener;
  private final Set<String> crashingParts;
  private final ChannelGroup connections;
  private final Channel server;
  private volatile boolean isSilent;
  private volatile boolean hasCrashed;

  /**
   * Starts a target.
   *
   * @param port where it listens on loopback; 0 for a free port
   * @param crashingParts the parts under which targets end; a part that starts with {@code dark}
   *     makes it fall silent
   */
  ObservedTarget(
      String id, int port, EventLoopGroup group, Set<String> crashingParts, Listener listener) {
    this.id = id;
    this.listener = listener;
    this.crashingParts = crashingParts;
    this.connections = new DefaultChannelGroup(group.next());
    this.server =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel connection) {
                    connections.add(connection);
                    connection
                        .pipeline()
                        .addLast(new HttpServerCodec())
                        .addLast(new HttpObjectAggregator(MAXIMUM_BODY_BYTES))
                        .addLast(new Requests());
                  }
                })
            .bind("127.0.0.1", port)
            .syncUninterruptibly()
            .channel();
  }

  String id() {
    return id;
  }

  int port() {
    return ((InetSocketAddress) server.localAddress()).getPort();
  }

  /** Returns the record by which the target announces itself, in JSON. */
  String announcement(String service) {
    return "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"z1\",\"slots\":40,"
            .formatted(service, port())
        + "\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1}";
  }

  /** Closes the connections on which requests are under way. */
  void breakOff() {
    connections.close();
  }

  @Override
  public void close() {
    server.close().syncUninterruptibly();
    connections.close();
  }

  private void crash(boolean silently) {
    if (hasCrashed) {
      return;
    }
    hasCrashed = true;
    isSilent = silently;
    if (!silently) {
      server.close();
      connections.close();
    }
    listener.onCrash().accept(this);
  }

  /** The requests of one connection, one after the other. */
  private final class Requests extends SimpleChannelInboundHandler<FullHttpRequest> {
    private Optional<Run> underWay = Optional.empty();

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      String[] path = request.uri().split("/", -1);
      if (isSilent || path.length < 4) {
        return;
      }
      if (!id.equals(request.headers().get("X-Expect-Instance"))) {
        context.writeAndFlush(misdirected());
        return;
      }
      underWay = Optional.of(new Run(path[3], MonotonicClock.millis(), 0));
      String parts = request.headers().get("X-Prompt-Prefix", "");
      Optional<String> crashing = crashingParts.stream().filter(parts::contains).findAny();
      if (crashing.isPresent()) {
        crash(crashing.get().startsWith("da"));
        return;
      }
      if (path[2].equals(MUTE)) {
        return;
      }
      context.write(head(request));
      if (path[2].equals(SHORT)) {
        context.write(new DefaultHttpContent(event(1)));
        context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        endRun();
        return;
      }
      writeEvents(context, 1);
    }

    private FullHttpResponse misdirected() {
      FullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.MISDIRECTED_REQUEST, Unpooled.EMPTY_BUFFER);
      response.headers().set("X-Not-Executed", "1");
      HttpUtil.setContentLength(response, 0);
      return response;
    }

    private HttpResponse head(FullHttpRequest request) {
      HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
      head.headers()
          .set("X-Attempt-Id", request.headers().get("X-Attempt-Id", ""))
          .set("X-Server-Stamp", "stamp-" + id)
          .set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
      HttpUtil.setTransferEncodingChunked(head, true);
      return head;
    }

    private void writeEvents(ChannelHandlerContext context, int number) {
      if (!context.channel().isActive() || isSilent) {
        return;
      }
      context.writeAndFlush(new DefaultHttpContent(event(number)));
      context
          .executor()
          .schedule(() -> writeEvents(context, number + 1), EVENT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private ByteBuf event(int number) {
      return Unpooled.copiedBuffer(
          "id: %d\ndata: w\n\n".formatted(number), StandardCharsets.US_ASCII);
    }

    private void endRun() {
      underWay.ifPresent(
          run ->
              listener.onRun().accept(new Run(run.id(), run.startedAt(), MonotonicClock.millis())));
      underWay = Optional.empty();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      endRun();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
