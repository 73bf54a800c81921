package dev.ibishub.gateway.front;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.core.ResultCode;
import dev.ibishub.gateway.model.CallerLimits;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.runtime.MonotonicClock;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One caller's connection: collects requests, runs them one after the other, bounds what a caller
 * may send and how long it may take. Runs on the connection's event loop; not thread-safe.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Time between two looks at a sender whose request is still arriving, milliseconds. */
  private static final long ARRIVING_WATCH_MILLIS = 250;

  /**
   * The longest time between two looks at any sender, milliseconds, as a changed limit has to be
   * noticed. Connections are idle most of the time, and each look wakes the process.
   */
  private static final long IDLE_WATCH_MILLIS = 2_000;

  /** Requests that a caller may send ahead of the answer before its bytes are left unread. */
  private static final int MOST_AHEAD = 8;

  private static final int HEADERS_TOO_LARGE = 431;

  private final RequestContext context;
  private final ArrivalWatch watch;
  private final AtomicInteger inFlight;
  private final Deque<FullHttpRequest> ahead = new ArrayDeque<>();
  private ChannelHandlerContext channelContext;
  private HttpRequest head;
  private ByteBuf body;
  private Exchange exchange;
  private ScheduledFuture<?> watching;
  private long watchesAt;
  private boolean isClosing;

  CallerConnection(RequestContext context, ArrivalWatch watch, AtomicInteger inFlight) {
    this.context = context;
    this.watch = watch;
    this.inFlight = inFlight;
  }

  @Override
  public void channelActive(ChannelHandlerContext opened) {
    channelContext = opened;
    watchAfter(Math.min(IDLE_WATCH_MILLIS, untilIdle(MonotonicClock.millis())));
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext from) {
    if (isArriving() && watchesAt - MonotonicClock.millis() > ARRIVING_WATCH_MILLIS) {
      watching.cancel(false);
      watchAfter(ARRIVING_WATCH_MILLIS);
    }
    from.fireChannelReadComplete();
  }

  @Override
  public void channelRead(ChannelHandlerContext from, Object message) {
    try {
      if (!isClosing) {
        take(message);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext from) {
    if (exchange != null) {
      exchange.onWritable(from.channel().isWritable());
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext from) {
    isClosing = true;
    if (watching != null) {
      watching.cancel(false);
    }
    dropBody();
    ahead.forEach(ReferenceCountUtil::release);
    ahead.clear();
    if (exchange != null) {
      exchange.onCallerGone();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext from, Throwable cause) {
    logger.atFine().withCause(cause).log("event=caller.failed");
    from.close();
  }

  private void take(Object message) {
    if (message instanceof HttpRequest request) {
      takeHead(request);
    }
    if (!isClosing && message instanceof HttpContent content) {
      takeBody(content);
    }
  }

  private void takeHead(HttpRequest request) {
    watch.onHead();
    Optional<Integer> fault = fault(request);
    if (fault.isPresent()) {
      close(fault.get());
      return;
    }
    long declared = HttpUtil.getContentLength(request, 0L);
    if (declared > limits().maximumBodyBytes()) {
      close(ResultCode.TOO_LARGE.httpStatus());
      return;
    }
    head = request;
    body = Unpooled.EMPTY_BUFFER;
    if (HttpUtil.is100ContinueExpected(request)) {
      channelContext.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  /** Finds the status for a request that must not be passed on. */
  private Optional<Integer> fault(HttpRequest request) {
    int malformed = ResultCode.MALFORMED_REQUEST.httpStatus();
    if (!request.decoderResult().isSuccess()) {
      Throwable cause = request.decoderResult().cause();
      boolean isTooLong =
          cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
      return Optional.of(isTooLong ? HEADERS_TOO_LARGE : malformed);
    }
    List<String> encodings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    boolean isUnknownFraming =
        encodings.size() > 1
            || (encodings.size() == 1
                && !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0)));
    boolean isUnclear =
        watch.isFolded()
            || isUnknownFraming
            || !request.protocolVersion().protocolName().equals("HTTP")
            || request.protocolVersion().majorVersion() != 1
            || request.headers().getAll(HttpHeaderNames.HOST).size() != 1
            || !request.uri().startsWith("/");
    return isUnclear ? Optional.of(malformed) : Optional.empty();
  }

  private void takeBody(HttpContent content) {
    if (head == null) {
      return;
    }
    if (!content.decoderResult().isSuccess()) {
      close(ResultCode.MALFORMED_REQUEST.httpStatus());
      return;
    }
    if (content.content().isReadable()) {
      if (body.readableBytes() + content.content().readableBytes() > limits().maximumBodyBytes()) {
        close(ResultCode.TOO_LARGE.httpStatus());
        return;
      }
      body = body.isWritable() || body.capacity() > 0 ? body : Unpooled.buffer();
      body.writeBytes(content.content());
    }
    if (content instanceof LastHttpContent) {
      complete();
    }
  }

  private void complete() {
    FullHttpRequest whole =
        new DefaultFullHttpRequest(head.protocolVersion(), head.method(), head.uri(), body);
    whole.headers().set(head.headers());
    head = null;
    body = null;
    watch.expectHead();
    ahead.addLast(whole);
    if (ahead.size() >= MOST_AHEAD) {
      channelContext.channel().config().setAutoRead(false);
    }
    next();
  }

  private void next() {
    if (exchange != null || isClosing || ahead.isEmpty()) {
      return;
    }
    FullHttpRequest request = ahead.pollFirst();
    channelContext.channel().config().setAutoRead(true);
    CallerAnswer answer =
        new CallerAnswer(channelContext.channel(), request, context.stop()::isLeaving);
    inFlight.incrementAndGet();
    exchange =
        new Exchange(
            context,
            channelContext.channel().eventLoop(),
            request,
            answer,
            () -> channelContext.executor().execute(this::onExchangeDone));
    exchange.start();
  }

  private void onExchangeDone() {
    exchange = null;
    inFlight.decrementAndGet();
    watch.touch();
    next();
  }

  private void watchAfter(long millis) {
    watchesAt = MonotonicClock.millis() + millis;
    watching = channelContext.executor().schedule(this::watchSender, millis, TimeUnit.MILLISECONDS);
  }

  /** Whether a part of a request has come. */
  private boolean isArriving() {
    return head != null || watch.headDeadline() != Long.MAX_VALUE;
  }

  private void watchSender() {
    if (isClosing) {
      return;
    }
    long now = MonotonicClock.millis();
    if (exchange == null) {
      closeIfDue(now);
    }
    if (!isClosing) {
      long longest = isArriving() ? ARRIVING_WATCH_MILLIS : IDLE_WATCH_MILLIS;
      watchAfter(exchange == null ? Math.min(longest, untilIdle(now)) : longest);
    }
  }

  /** Returns the time until the sender counts as idle if nothing more comes, milliseconds. */
  private long untilIdle(long now) {
    return watch.lastByteAt() + limits().idleTimeoutMillis() + 1 - now;
  }

  private void closeIfDue(long now) {
    boolean isBodySlow = head != null && now - watch.lastByteAt() > limits().headerTimeoutMillis();
    if (isBodySlow || now > watch.headDeadline()) {
      close(ResultCode.SLOW_SENDER.httpStatus());
    } else if (now - watch.lastByteAt() > limits().idleTimeoutMillis()) {
      isClosing = true;
      channelContext.close();
    }
  }

  /** Answers what can't be a request, or not one that is taken, and ends the connection. */
  private void close(int status) {
    isClosing = true;
    dropBody();
    logger.atInfo().log("%s", LogEvent.of("caller.rejected").with("status", status));
    var response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    channelContext.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }

  private void dropBody() {
    if (body != null) {
      body.release();
      body = null;
    }
    head = null;
  }

  private CallerLimits limits() {
    return context.limits();
  }
}
