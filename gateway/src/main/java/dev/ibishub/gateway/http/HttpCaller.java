package dev.ibishub.gateway.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Sends calls to outside systems over kept connections. A call is never sent twice. A connection on
 * which an answer did not come in time is closed, since nothing more may ever come there.
 * Thread-safe.
 *
 * <pre>{@code
 * caller.call(HttpCall.get("10.1.0.4", 8080, "/health", 500)).thenAccept(reply -> ...);
 * }</pre>
 */
public final class HttpCaller {
  private static final int CONNECT_TIMEOUT_MILLIS = 800;

  /** Pages of the store are at most 1 MB of JSON, reads as many KB as were asked for. */
  private static final int MAXIMUM_ANSWER_BYTES = 8 << 20;

  /** Idle connections kept to one address. */
  private static final int KEPT_CONNECTIONS = 4;

  /**
   * An idle connection is not used again after this long, since peers close theirs after a timeout
   * of their own and a request would cross that. Milliseconds.
   */
  private static final long REUSE_MILLIS = 2_000;

  private final EventLoopGroup group;
  private final Map<InetSocketAddress, Deque<Kept>> idle = new ConcurrentHashMap<>();

  private record Kept(Channel channel, long reusableUntilNanos) {}

  public HttpCaller(EventLoopGroup group) {
    this.group = group;
  }

  /**
   * Sends a call.
   *
   * @return the answer; fails with {@link TimeoutException} or {@link IOException}, after which the
   *     call may or may not have been carried out
   */
  public CompletableFuture<HttpReply> call(HttpCall call) {
    CompletableFuture<HttpReply> reply = new CompletableFuture<>();
    InetSocketAddress address = new InetSocketAddress(call.host(), call.port());
    Channel kept = takeIdle(address);
    if (kept != null) {
      send(kept, address, call, reply);
      return reply;
    }
    new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(
            ChannelOption.CONNECT_TIMEOUT_MILLIS,
            (int) Math.min(CONNECT_TIMEOUT_MILLIS, Math.max(1, call.timeoutMillis())))
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel
                    .pipeline()
                    .addLast(new HttpClientCodec())
                    .addLast(new HttpObjectAggregator(MAXIMUM_ANSWER_BYTES));
              }
            })
        .connect(address)
        .addListener(
            (io.netty.channel.ChannelFuture connected) -> {
              if (connected.isSuccess()) {
                send(connected.channel(), address, call, reply);
                return;
              }
              reply.completeExceptionally(connected.cause());
            });
    return reply;
  }

  private Channel takeIdle(InetSocketAddress address) {
    Deque<Kept> kept = idle.get(address);
    if (kept == null) {
      return null;
    }
    synchronized (kept) {
      while (!kept.isEmpty()) {
        Kept newest = kept.pollLast();
        if (newest.channel().isActive() && System.nanoTime() < newest.reusableUntilNanos()) {
          return newest.channel();
        }
        newest.channel().close();
      }
    }
    return null;
  }

  private void keep(InetSocketAddress address, Channel channel) {
    Deque<Kept> kept = idle.computeIfAbsent(address, any -> new ArrayDeque<>());
    synchronized (kept) {
      kept.removeIf(one -> !one.channel().isActive());
      if (kept.size() >= KEPT_CONNECTIONS) {
        channel.close();
        return;
      }
      long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(REUSE_MILLIS);
      kept.addLast(new Kept(channel, until));
    }
  }

  private void send(
      Channel channel,
      InetSocketAddress address,
      HttpCall call,
      CompletableFuture<HttpReply> reply) {
    ScheduledFuture<?> timer =
        channel
            .eventLoop()
            .schedule(
                () -> {
                  if (reply.completeExceptionally(
                      new TimeoutException(call.pathAndQuery() + " had no answer in time"))) {
                    channel.close();
                  }
                },
                call.timeoutMillis(),
                TimeUnit.MILLISECONDS);
    reply.whenComplete((value, failure) -> timer.cancel(false));
    channel.pipeline().addLast(new Waiting(address, reply));
    channel
        .writeAndFlush(request(call))
        .addListener(
            written -> {
              if (!written.isSuccess()) {
                reply.completeExceptionally(written.cause());
                channel.close();
              }
            });
  }

  private static FullHttpRequest request(HttpCall call) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(call.method()),
            call.pathAndQuery(),
            Unpooled.wrappedBuffer(call.body()));
    request.headers().set(HttpHeaderNames.HOST, call.host() + ":" + call.port());
    call.headers().forEach((name, value) -> request.headers().set(name, value));
    if (call.body().length > 0 || call.method().equals("POST")) {
      request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
    }
    return request;
  }

  /** Hands the one answer that is due to its call. */
  private final class Waiting extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final InetSocketAddress address;
    private final CompletableFuture<HttpReply> reply;

    Waiting(InetSocketAddress address, CompletableFuture<HttpReply> reply) {
      this.address = address;
      this.reply = reply;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      Map<String, String> headers = new HashMap<>();
      response
          .headers()
          .forEach(
              header -> headers.put(header.getKey().toLowerCase(Locale.ROOT), header.getValue()));
      byte[] body = ByteBufUtil.getBytes(response.content());
      boolean reusable = HttpUtil.isKeepAlive(response) && response.decoderResult().isSuccess();
      context.pipeline().remove(this);
      if (reusable) {
        keep(address, context.channel());
      } else {
        context.close();
      }
      reply.complete(new HttpReply(response.status().code(), headers, body));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      reply.completeExceptionally(new IOException("connection to " + address + " was closed"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      reply.completeExceptionally(cause);
      context.close();
    }
  }
}
