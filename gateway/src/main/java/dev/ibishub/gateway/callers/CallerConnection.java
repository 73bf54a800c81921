package dev.ibishub.gateway.callers;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.core.ResultCode;
import dev.ibishub.gateway.callers.CallerMemory.Kind;
import dev.ibishub.gateway.model.CallerLimits;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.runtime.MonotonicClock;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
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
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.logging.Level;

/**
 * Handler of one caller's connection, which collects requests, runs them one after another, and
 * enforces the limits on their size and on how long they take to arrive. Runs on the connection's
 * event loop; not thread-safe.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Interval between timeout checks while a request is arriving, milliseconds. */
  private static final long ARRIVING_CHECK_MILLIS = 250;

  /**
   * Longest interval between timeout checks, milliseconds, within which a changed limit takes
   * effect. Connections are idle most of the time, and each check wakes the process.
   */
  private static final long IDLE_CHECK_MILLIS = 2_000;

  private static final int HEADERS_TOO_LARGE = 431;

  /** Memory of a request that runs and of its connections to targets, bytes. */
  private static final long EXCHANGE_BYTES = 12 << 10;

  /** Size of a buffer that grows, in relation to what it holds. */
  private static final long GROWTH_FACTOR = 2;

  /**
   * Longest time for which a caller may go on sending after its request was rejected, milliseconds.
   */
  private static final long LINGER_MILLIS = 5_000;

  private final Supplier<CallerLimits> limits;
  private final CallerExchange.Factory exchanges;
  private final RequestReadMonitor monitor;
  private final AtomicInteger inFlight;
  private final CallerResources resources;
  private final ConnectionMemory memory;
  private final RequestPipeline pipeline = new RequestPipeline();
  private ChannelHandlerContext channelContext;
  private HttpRequest head;
  private long headAt;
  private ByteBuf body;

  /** Memory of the request that is arriving. */
  private RequestMemory arriving;

  /** Memory of the request that runs. */
  private RequestMemory running;

  private final StallDetector stalls = new StallDetector();
  private CallerExchange exchange;
  private ScheduledFuture<?> nextCheck;
  private long nextCheckAt;

  /** Whether the caller waits to be asked for the body of the request that is arriving. */
  private boolean owesContinue;

  /** Whether all that still arrives is dropped, as a request was rejected. */
  private boolean isDiscarding;

  /** Whether no further response is written. */
  private boolean isClosing;

  /** Whether a request waits until the caller has read earlier responses. */
  private boolean isHeldBack;

  CallerConnection(
      Supplier<CallerLimits> limits,
      CallerExchange.Factory exchanges,
      RequestReadMonitor monitor,
      AtomicInteger inFlight,
      CallerResources resources,
      ConnectionMemory memory) {
    this.limits = limits;
    this.exchanges = exchanges;
    this.monitor = monitor;
    this.inFlight = inFlight;
    this.resources = resources;
    this.memory = memory;
  }

  @Override
  public void channelActive(ChannelHandlerContext opened) {
    channelContext = opened;
    scheduleCheck(Math.min(IDLE_CHECK_MILLIS, untilIdle(MonotonicClock.millis())));
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext handlerContext) {
    if (isArriving() && nextCheckAt - MonotonicClock.millis() > ARRIVING_CHECK_MILLIS) {
      nextCheck.cancel(false);
      scheduleCheck(ARRIVING_CHECK_MILLIS);
    }
    if (exchange == null && !pipeline.isEmpty()) {
      // A close that was read together with the request takes effect first.
      handlerContext.executor().execute(this::startNext);
    }
    handlerContext.fireChannelReadComplete();
  }

  @Override
  public void channelRead(ChannelHandlerContext handlerContext, Object message) {
    try {
      if (!isClosing && !isDiscarding) {
        handle(message);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext handlerContext) {
    if (exchange != null) {
      exchange.onWritable(handlerContext.channel().isWritable());
    } else if (isHeldBack && handlerContext.channel().isWritable()) {
      // Not at once, as writing a response changes the writability, too.
      handlerContext.executor().execute(this::startNext);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext handlerContext) {
    isClosing = true;
    if (nextCheck != null) {
      nextCheck.cancel(false);
    }
    if (exchange != null) {
      exchange.onCallerGone();
    }
    dropBody();
    pipeline.clear();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
    // Resets are usual; anything else is a fault in this process.
    logger.at(cause instanceof IOException ? Level.FINE : Level.WARNING).withCause(cause).log(
        "%s", LogEvent.of("caller.failed").with("cause", cause));
    handlerContext.close();
  }

  private void handle(Object message) {
    if (message instanceof HttpRequest request) {
      handleHead(request);
    }
    if (!isDiscarding && message instanceof HttpContent content) {
      handleBody(content);
    }
  }

  private void handleHead(HttpRequest request) {
    monitor.onHead();
    Optional<Throwable> unreadable = Optional.ofNullable(request.decoderResult().cause());
    if (unreadable.filter(CallerConnection::isTooLong).isPresent()) {
      reject(HEADERS_TOO_LARGE, ResultCode.TOO_LARGE);
      return;
    }
    if (unreadable.isPresent() || isAmbiguous(request)) {
      reject(ResultCode.MALFORMED_REQUEST);
      return;
    }
    long declaredLength = HttpUtil.getContentLength(request, 0L);
    if (declaredLength > limits().maximumBodyBytes()) {
      reject(ResultCode.TOO_LARGE);
      return;
    }
    boolean waits = exchange != null || !pipeline.isEmpty();
    arriving = new RequestMemory(memory, waits);
    if (!pipeline.hasRoomFor(declaredLength, limits())
        || !arriving.tryReserve(Kind.HEAD, memoryOf(request))
        || !arriving.tryReserveBody(declaredLength)) {
      rejectForLackOfMemory();
      return;
    }
    head = request;
    headAt = MonotonicClock.millis();
    body = Unpooled.EMPTY_BUFFER;
    owesContinue = HttpUtil.is100ContinueExpected(request);
    continueIfDue();
  }

  private static long memoryOf(HttpRequest request) {
    return request.uri().length() + HeadSize.memoryOf(request.headers());
  }

  private void rejectForLackOfMemory() {
    resources.metrics().count(CallerLimitEvent.MEMORY_REJECTED);
    reject(ResultCode.OVERLOADED);
  }

  /** Asks for the body of the request that is arriving, once no earlier one is under way. */
  private void continueIfDue() {
    if (owesContinue && exchange == null && pipeline.isEmpty()) {
      owesContinue = false;
      channelContext.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private static boolean isTooLong(Throwable cause) {
    return cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
  }

  /** Whether two parsers could read the request differently, so that it must not be passed on. */
  private boolean isAmbiguous(HttpRequest request) {
    List<String> encodings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    boolean isUnknownFraming =
        encodings.size() > 1
            || (encodings.size() == 1
                && !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0)));
    return monitor.hasFoldedLine()
        || isUnknownFraming
        || !request.protocolVersion().protocolName().equals("HTTP")
        || request.protocolVersion().majorVersion() != 1
        || request.headers().getAll(HttpHeaderNames.HOST).size() != 1
        || !request.uri().startsWith("/");
  }

  private void handleBody(HttpContent content) {
    if (head == null) {
      return;
    }
    if (!content.decoderResult().isSuccess()) {
      reject(ResultCode.MALFORMED_REQUEST);
      return;
    }
    if (content.content().isReadable()) {
      long bytes = (long) body.readableBytes() + content.content().readableBytes();
      if (bytes > limits().maximumBodyBytes()) {
        reject(ResultCode.TOO_LARGE);
        return;
      }
      long reservedBytes = hasLength() ? bytes : bytes * GROWTH_FACTOR;
      if (!pipeline.hasRoomFor(bytes, limits()) || !arriving.tryReserveBody(reservedBytes)) {
        rejectForLackOfMemory();
        return;
      }
      body = body.capacity() > 0 ? body : newBody();
      body.writeBytes(content.content());
    }
    if (content instanceof LastHttpContent) {
      completeRequest();
    }
  }

  private boolean hasLength() {
    return HttpUtil.isContentLengthSet(head);
  }

  /** Returns a buffer that need not grow, which would take the memory of the body twice. */
  private ByteBuf newBody() {
    return hasLength()
        ? Unpooled.buffer((int) HttpUtil.getContentLength(head, 0L))
        : Unpooled.buffer();
  }

  private void completeRequest() {
    FullHttpRequest whole =
        new DefaultFullHttpRequest(head.protocolVersion(), head.method(), head.uri(), body);
    whole.headers().set(head.headers());
    head = null;
    body = null;
    owesContinue = false;
    monitor.expectHead();
    pipeline.add(new RequestPipeline.Run(whole, arriving));
    arriving = null;
    resources.connections().onBusy(channelContext.channel());
  }

  private void startNext() {
    if (exchange != null || isClosing || !channelContext.channel().isOpen()) {
      return;
    }
    boolean wasHeldBack = isHeldBack;
    isHeldBack = !pipeline.isEmpty() && !channelContext.channel().isWritable();
    if (isHeldBack) {
      if (!wasHeldBack) {
        resources.metrics().count(CallerLimitEvent.REQUEST_HELD_BACK);
      }
      return;
    }
    try {
      pipeline.poll().ifPresent(this::start);
    } catch (RuntimeException e) {
      exceptionCaught(channelContext, e);
    }
  }

  private void start(RequestPipeline.Turn turn) {
    if (turn instanceof RequestPipeline.Rejection rejection) {
      writeLast(rejection.response());
    } else if (turn instanceof RequestPipeline.Run run) {
      startOrReject(run);
    }
  }

  private void startOrReject(RequestPipeline.Run run) {
    if (run.memory().tryReserve(Kind.EXCHANGE, EXCHANGE_BYTES)) {
      startExchange(run);
      return;
    }
    resources.metrics().count(CallerLimitEvent.MEMORY_REJECTED);
    RequestPipeline.release(run);
    writeLast(rejection(ResultCode.OVERLOADED.httpStatus(), ResultCode.OVERLOADED));
  }

  private void writeLast(FullHttpResponse response) {
    isClosing = true;
    channelContext
        .writeAndFlush(response)
        .addListener((ChannelFuture written) -> closeAfterReading());
  }

  /**
   * Ends the connection so that the caller can read the last response. Closing it at once while the
   * caller still sends would reset it, and many callers then never see the response.
   */
  private void closeAfterReading() {
    ((SocketChannel) channelContext.channel()).shutdownOutput();
    channelContext
        .executor()
        .schedule(() -> channelContext.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void startExchange(RequestPipeline.Run run) {
    inFlight.incrementAndGet();
    running = run.memory();
    exchange =
        exchanges.create(
            channelContext.channel(),
            memory,
            run.request(),
            () -> channelContext.executor().execute(this::onExchangeDone));
    exchange.start();
  }

  private void onExchangeDone() {
    boolean isLast = exchange.closesConnection();
    exchange = null;
    inFlight.decrementAndGet();
    running.release();
    monitor.restartIdleTime();
    if (isLast) {
      isClosing = true;
      return;
    }
    if (unwrittenBytes() == 0) {
      becomeIdle();
    } else {
      channelContext.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> becomeIdle());
    }
    startNext();
    continueIfDue();
  }

  /** Lets this connection make room for others, and its idle time begin, if it has no request. */
  private void becomeIdle() {
    if (exchange != null || !pipeline.isEmpty()) {
      return;
    }
    resources.connections().onIdle(channelContext.channel());
    if (!isArriving()) {
      monitor.restartIdleTime();
    }
  }

  private void scheduleCheck(long millis) {
    nextCheckAt = MonotonicClock.millis() + millis;
    nextCheck =
        channelContext.executor().schedule(this::checkTimeouts, millis, TimeUnit.MILLISECONDS);
  }

  /** Whether a part of a request has arrived. */
  private boolean isArriving() {
    return head != null || monitor.headDeadline() != Long.MAX_VALUE;
  }

  private void checkTimeouts() {
    long now = MonotonicClock.millis();
    long unwritten = unwrittenBytes();
    if (stalls.isStalled(unwritten, now, resources.stalledMillis().getAsLong())) {
      resources.metrics().count(CallerLimitEvent.RESPONSE_STALLED);
      channelContext.close();
      return;
    }
    if (mayTimeOut(unwritten)) {
      closeIfTimedOut(now);
    }
    if (channelContext.channel().isOpen()) {
      long interval = isArriving() ? ARRIVING_CHECK_MILLIS : IDLE_CHECK_MILLIS;
      scheduleCheck(mayTimeOut(unwritten) ? Math.min(interval, untilIdle(now)) : interval);
    }
  }

  /** Whether the caller has to send something. */
  private boolean mayTimeOut(long unwritten) {
    return !isClosing && exchange == null && !isDiscarding && unwritten == 0;
  }

  /** Returns how much of the responses the socket has not accepted, bytes. */
  private long unwrittenBytes() {
    return Optional.ofNullable(channelContext.channel().unsafe().outboundBuffer())
        .map(buffer -> buffer.totalPendingWriteBytes() - buffer.currentProgress())
        .orElse(0L);
  }

  /** Returns the time until the connection counts as idle if nothing more arrives, milliseconds. */
  private long untilIdle(long now) {
    return monitor.lastByteAt() + limits().idleTimeoutMillis() + 1 - now;
  }

  private void closeIfTimedOut(long now) {
    boolean isBodySlow =
        head != null
            && (now - monitor.lastByteAt() > limits().headerTimeoutMillis()
                || now - headAt > limits().requestTimeoutMillis());
    if (isBodySlow || now > monitor.headDeadline()) {
      reject(ResultCode.SLOW_SENDER);
      startNext();
    } else if (now - monitor.lastByteAt() > limits().idleTimeoutMillis()) {
      isClosing = true;
      channelContext.close();
    }
  }

  /** Rejects a malformed, oversized or slow request, and closes the connection after that. */
  private void reject(ResultCode code) {
    reject(code.httpStatus(), code);
  }

  private void reject(int status, ResultCode code) {
    isDiscarding = true;
    dropBody();
    logger.atInfo().log("%s", LogEvent.of("caller.rejected").with("status", status));
    pipeline.add(new RequestPipeline.Rejection(rejection(status, code)));
  }

  private FullHttpResponse rejection(int status, ResultCode code) {
    FullHttpResponse rejection = exchanges.createRejection(status, code);
    rejection.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    return rejection;
  }

  private void dropBody() {
    owesContinue = false;
    if (arriving != null) {
      arriving.release();
      arriving = null;
    }
    if (body != null) {
      body.release();
      body = null;
    }
    head = null;
  }

  private CallerLimits limits() {
    return limits.get();
  }
}
