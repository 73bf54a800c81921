package dev.ibishub.gateway.http;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.wire.NumericAddresses;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AttributeKey;
import io.netty.util.NetUtil;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * HTTP client for external systems, with pooled connections. A request is never sent twice. A
 * connection on which a response did not arrive in time is closed, as it may be dead. Thread-safe.
 *
 * <p>A system may answer a call twice, the second time where the response to a later call is
 * expected. A response with the id of another call is dropped, and so is one without an id on a
 * connection on which the system has repeated ids. A call that requires its id is sent on such a
 * connection, or on a new one, on which the first response can be no other call's.
 *
 * <pre>{@code
 * client.call(HttpCall.get("10.1.0.4", 8080, "/health", 500)).thenAccept(reply -> ...);
 * }</pre>
 */
public final class PooledHttpClient {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final int CONNECT_TIMEOUT_MILLIS = 800;

  /** Maximum number of interim responses (1xx), or of those to other calls, before a call's own. */
  static final int MAXIMUM_OTHER_RESPONSES = 16;

  /** Most idle connections that are kept to one address. */
  private static final int MAXIMUM_IDLE_CONNECTIONS = 4;

  /**
   * How long an idle connection may still be reused, milliseconds. Peers close idle connections
   * after a timeout of their own, and a request sent at that moment would be lost.
   */
  private static final long MAXIMUM_IDLE_MILLIS = 2_000;

  private static final AttributeKey<Boolean> IS_IDLE =
      AttributeKey.valueOf(PooledHttpClient.class, "idle");

  /** Whether the system has repeated the ids of all calls on the connection that had one. */
  private static final AttributeKey<Boolean> REPEATS_IDS =
      AttributeKey.valueOf(PooledHttpClient.class, "repeatsIds");

  private final EventLoopGroup group;
  private final IdleHandler idleHandler = new IdleHandler();
  private final Map<InetSocketAddress, Deque<IdleConnection>> idle = new ConcurrentHashMap<>();

  private record IdleConnection(Channel channel, long reusableUntilNanos) {}

  public PooledHttpClient(EventLoopGroup group) {
    this.group = group;
  }

  /**
   * Sends a request.
   *
   * @return the response; fails with {@link TimeoutException} or {@link IOException}, after which
   *     the request may or may not have been carried out, and with {@link IllegalArgumentException}
   *     when the host is no IP number or the port is invalid
   */
  public CompletableFuture<HttpReply> call(HttpCall call) {
    CompletableFuture<HttpReply> reply = new CompletableFuture<>();
    InetSocketAddress address;
    try {
      address = NumericAddresses.of(call.host(), call.port());
    } catch (IllegalArgumentException e) {
      return CompletableFuture.failedFuture(e);
    }
    Channel pooled = pollIdle(address, call);
    if (pooled != null) {
      send(pooled, address, call, reply);
      return reply;
    }
    new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        // Bytes that arrive before the call's handlers are in place would be dropped.
        .option(ChannelOption.AUTO_READ, false)
        .option(
            ChannelOption.CONNECT_TIMEOUT_MILLIS,
            (int) Math.min(CONNECT_TIMEOUT_MILLIS, Math.max(1, call.timeoutMillis())))
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel
                    .pipeline()
                    .addLast(
                        new HttpRequestEncoder(),
                        new StrictResponseDecoder(new HttpDecoderConfig(), false),
                        idleHandler);
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

  private Channel pollIdle(InetSocketAddress address, HttpCall call) {
    Deque<IdleConnection> connections = idle.get(address);
    if (connections == null) {
      return null;
    }
    synchronized (connections) {
      Iterator<IdleConnection> newestFirst = connections.descendingIterator();
      while (newestFirst.hasNext()) {
        IdleConnection connection = newestFirst.next();
        Channel channel = connection.channel();
        if (!channel.isActive() || System.nanoTime() >= connection.reusableUntilNanos()) {
          newestFirst.remove();
          channel.close();
        } else if (!requiresId(call) || repeatsIds(channel)) {
          newestFirst.remove();
          channel.attr(IS_IDLE).set(false);
          return channel;
        }
      }
    }
    return null;
  }

  private static boolean requiresId(HttpCall call) {
    return call.identification().map(HttpCall.Identification::isRequired).orElse(false);
  }

  private static boolean repeatsIds(Channel channel) {
    return channel.hasAttr(REPEATS_IDS) && channel.attr(REPEATS_IDS).get();
  }

  /** Closes a connection that gets a response while no call is in flight. */
  @Sharable
  private static final class IdleHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (context.channel().hasAttr(IS_IDLE) && context.channel().attr(IS_IDLE).get()) {
        ReferenceCountUtil.release(message);
        context.close();
        return;
      }
      context.fireChannelRead(message);
    }
  }

  private void returnToPool(InetSocketAddress address, Channel channel) {
    Deque<IdleConnection> connections = idle.computeIfAbsent(address, key -> new ArrayDeque<>());
    synchronized (connections) {
      connections.removeIf(connection -> !connection.channel().isActive());
      if (connections.size() >= MAXIMUM_IDLE_CONNECTIONS) {
        channel.close();
        return;
      }
      channel.attr(IS_IDLE).set(true);
      long reusableUntil = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAXIMUM_IDLE_MILLIS);
      connections.addLast(new IdleConnection(channel, reusableUntil));
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
    String id = HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong());
    HttpObjectAggregator aggregator = new HttpObjectAggregator(call.maximumReplyBytes());
    channel
        .pipeline()
        .addLast(aggregator, new ResponseHandler(address, call, id, reply, aggregator));
    channel.config().setAutoRead(true);
    channel
        .writeAndFlush(request(call, id))
        .addListener(
            written -> {
              if (!written.isSuccess()) {
                reply.completeExceptionally(written.cause());
                channel.close();
              }
            });
  }

  private static FullHttpRequest request(HttpCall call, String id) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(call.method()),
            call.pathAndQuery(),
            Unpooled.wrappedBuffer(call.body()));
    request
        .headers()
        .set(HttpHeaderNames.HOST, NetUtil.toSocketAddressString(call.host(), call.port()));
    call.headers().forEach((name, value) -> request.headers().set(name, value));
    call.identification().ifPresent(identified -> request.headers().set(identified.header(), id));
    if (call.body().length > 0 || call.method().equals("POST")) {
      request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
    }
    return request;
  }

  /** Completes the call in flight with its response. */
  private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final InetSocketAddress address;
    private final HttpCall call;
    private final String id;
    private final CompletableFuture<HttpReply> reply;
    private final HttpObjectAggregator aggregator;
    private int otherResponses;

    ResponseHandler(
        InetSocketAddress address,
        HttpCall call,
        String id,
        CompletableFuture<HttpReply> reply,
        HttpObjectAggregator aggregator) {
      this.address = address;
      this.call = call;
      this.id = id;
      this.reply = reply;
      this.aggregator = aggregator;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
        onOtherResponse(context);
        return;
      }
      if (!response.decoderResult().isSuccess()) {
        fail(
            context,
            new IOException("no HTTP response of " + address, response.decoderResult().cause()));
        return;
      }
      if (!answersCall(context.channel(), response)) {
        logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
            "%s",
            LogEvent.of("response.of_other_call")
                .with("address", address)
                .with("path", call.pathAndQuery())
                .with("status", response.status().code()));
        onOtherResponse(context);
        return;
      }
      complete(context, response);
    }

    private void complete(ChannelHandlerContext context, FullHttpResponse response) {
      Map<String, String> headers = new HashMap<>();
      response
          .headers()
          .forEach(
              header -> headers.put(header.getKey().toLowerCase(Locale.ROOT), header.getValue()));
      byte[] body = ByteBufUtil.getBytes(response.content());
      boolean isIdentified = isIdentified(response);
      boolean isReusable = HttpUtil.isKeepAlive(response) && (isIdentified || !requiresId(call));
      context.channel().attr(REPEATS_IDS).set(isIdentified);
      context.channel().attr(IS_IDLE).set(true);
      context.pipeline().remove(aggregator);
      context.pipeline().remove(this);
      HttpReply whole = new HttpReply(response.status().code(), headers, body);
      // What was read together with the response may be another one, which closes the connection.
      context.executor().execute(() -> complete(context.channel(), isReusable, whole));
    }

    private void complete(Channel channel, boolean isReusable, HttpReply whole) {
      if (isReusable && channel.isActive()) {
        returnToPool(address, channel);
      } else {
        channel.close();
      }
      reply.complete(whole);
    }

    /** Whether a response is that to the call in flight. */
    private boolean answersCall(Channel channel, FullHttpResponse response) {
      return call.identification().isEmpty()
          || isIdentified(response)
          || (ids(response).isEmpty() && !repeatsIds(channel));
    }

    private boolean isIdentified(FullHttpResponse response) {
      return ids(response).equals(List.of(id));
    }

    private List<String> ids(FullHttpResponse response) {
      return call.identification()
          .map(identified -> response.headers().getAll(identified.header()))
          .orElse(List.of());
    }

    private void onOtherResponse(ChannelHandlerContext context) {
      otherResponses++;
      if (otherResponses > MAXIMUM_OTHER_RESPONSES) {
        fail(
            context,
            new IOException(
                "%s sent %d responses and none to the call".formatted(address, otherResponses)));
      }
    }

    private void fail(ChannelHandlerContext context, Throwable cause) {
      reply.completeExceptionally(cause);
      context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      reply.completeExceptionally(new IOException("connection to " + address + " was closed"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      fail(context, cause);
    }
  }
}
