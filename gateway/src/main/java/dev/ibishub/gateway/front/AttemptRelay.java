package dev.ibishub.gateway.front;

import dev.ibishub.core.serving.AttemptOutcome;
import dev.ibishub.core.serving.DeliveredResponse;
import dev.ibishub.gateway.callers.CallerMemory.Kind;
import dev.ibishub.gateway.callers.ConnectionMemory;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Relay of one attempt's response from the target to the caller, which also classifies failures.
 * Runs on one event loop; not thread-safe.
 *
 * <p>A response of moderate size is buffered and passed on only when it is complete, so that
 * another target's response can still replace one that breaks off. Of an event stream only whole
 * events are passed on, each once and in order.
 */
final class AttemptRelay implements TargetCall.Listener {
  /**
   * Size beyond which a successful response is passed on as it arrives, and any other one counts as
   * broken, bytes.
   */
  static final int MAXIMUM_BUFFERED_BYTES = 256 << 10;

  /**
   * Maximum size of the comments between two events, bytes. Comments show that a target lives, but
   * without an end they are no response.
   */
  static final int MAXIMUM_COMMENT_BYTES = 64 << 10;

  private static final int MISDIRECTED = 421;
  private static final int REQUEST_TIMEOUT = 408;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;

  /** Size of a buffer that grows, in relation to what it holds. */
  private static final long GROWTH_FACTOR = 2;

  private final RequestDialect dialect;
  private final Buffering buffering;
  private final Runnable drop = this::drop;
  private final Listener listener;
  private final String attemptId;
  private ByteArrayOutputStream buffered = new ByteArrayOutputStream();
  private EventSplitter splitter = new EventSplitter();
  private TargetCall call;
  private TargetResponse response;
  private HttpHeaders headers;
  private OptionalLong declaredLength = OptionalLong.empty();
  private boolean isPassingThrough;
  private boolean hasPassedOnEvent;

  /** Size of the comments since the last event, bytes. */
  private int commentBytes;

  /** Memory that is held for what was read and not passed on, bytes. */
  private long heldBytes;

  private boolean isOver;

  /**
   * Where responses are buffered.
   *
   * @param memory the memory of the caller's connection
   * @param onUnbuffered called when a response is passed on as there was no memory to buffer it
   */
  record Buffering(ConnectionMemory memory, Runnable onUnbuffered) {}

  /** A complete error response of the target. */
  @SuppressWarnings("ArrayRecordComponent") // Handed on, never compared or hashed.
  record Failure(int status, HttpHeaders headers, byte[] body) {}

  /** Receives the result of the attempt. Nothing follows a whole response, an end or a failure. */
  interface Listener {
    /** Returns what the caller has received so far, of this response and earlier ones. */
    DeliveredResponse delivered();

    /** Called first, when the intended target starts to respond, whatever the status. */
    void onResponse(TargetResponse response);

    /** Called with a complete response, in place of the calls below. */
    void onWholeResponse(int status, HttpHeaders headers, byte[] body);

    /**
     * Called before the first piece of a response that is passed on as it arrives; for an event
     * stream, before each event and before the end.
     *
     * @param bodyLength length that the target declares, bytes; empty for none and for event
     *     streams
     */
    void onBegin(int status, HttpHeaders headers, OptionalLong bodyLength);

    /** Called with a piece of a body that is no event stream. */
    void onPiece(byte[] bytes);

    /** Called with a whole event of a stream, in order and once. */
    void onEvent(EventSplitter.Event event);

    void onEnd();

    /** Called when the attempt failed, with the error response if the target sent one. */
    void onFailure(AttemptOutcome outcome, String cause, Optional<Failure> failure);
  }

  private AttemptRelay(
      RequestDialect dialect, Buffering buffering, String attemptId, Listener listener) {
    this.dialect = dialect;
    this.buffering = buffering;
    this.attemptId = attemptId;
    this.listener = listener;
  }

  static AttemptRelay start(
      EventLoop loop,
      RequestDialect dialect,
      InetSocketAddress address,
      FullHttpRequest request,
      Buffering buffering,
      Listener listener) {
    String attemptId = dialect.read(request).attemptId();
    AttemptRelay relay = new AttemptRelay(dialect, buffering, attemptId, listener);
    buffering.memory().addBuffer(relay.drop);
    relay.call = TargetCall.start(loop, address, request, relay);
    return relay;
  }

  void cancel() {
    end();
    call.cancel();
  }

  /** Whether the connection to the target is open. */
  boolean isConnected() {
    return call.isConnected();
  }

  /** Whether the target has started to respond. */
  boolean isResponding() {
    return response != null;
  }

  void setReading(boolean reading) {
    call.setReading(reading);
  }

  @Override
  public void onHead(HttpResponse head) {
    response = dialect.read(head);
    headers = new DefaultHttpHeaders().set(head.headers());
    declaredLength = declaredLength(head);
    HopByHopHeaders.removeFrom(headers);
    boolean isForOtherAttempt = response.attemptId().map(id -> !id.equals(attemptId)).orElse(false);
    if (!isForOtherAttempt && response.status() != MISDIRECTED) {
      listener.onResponse(response);
    }
    if (isForOtherAttempt) {
      fail(AttemptOutcome.BROKEN, "answer to another attempt " + response.attemptId().orElse(""));
    } else if (response.status() == MISDIRECTED) {
      fail(AttemptOutcome.MISDIRECTED, "another target answered");
    } else if (response.notRun()) {
      fail(AttemptOutcome.REFUSED, "target refused with " + response.status());
    } else if (response.isSuccess() && (!response.isSigned() || response.isEncoded())) {
      fail(
          AttemptOutcome.BROKEN,
          "success without the target's signature or with a content encoding");
    } else if (impliesNotRun(response.status())) {
      fail(
          AttemptOutcome.BROKEN, "status " + response.status() + " of a request that may have run");
    } else if (response.status() < 400 && !listener.delivered().mayBeFollowedBy(isStream())) {
      fail(AttemptOutcome.BROKEN, "the response can't follow the part that the caller has");
    }
  }

  private static OptionalLong declaredLength(HttpResponse head) {
    return HttpUtil.isTransferEncodingChunked(head) || !HttpUtil.isContentLengthSet(head)
        ? OptionalLong.empty()
        : OptionalLong.of(HttpUtil.getContentLength(head));
  }

  @Override
  public void onBody(byte[] bytes) {
    if (isOver) {
      return;
    }
    if (isStream()) {
      onEvents(bytes);
    } else if (isPassingThrough) {
      listener.onPiece(bytes);
    } else {
      buffer(bytes);
    }
  }

  @Override
  public void onEnd() {
    if (isOver) {
      return;
    }
    if (isStream()) {
      endStream();
      return;
    }
    end();
    if (isPassingThrough) {
      listener.onEnd();
    } else if (response.status() >= 400) {
      Failure failure = new Failure(response.status(), headers, buffered.toByteArray());
      listener.onFailure(
          AttemptOutcome.FAILED, "target answered " + response.status(), Optional.of(failure));
    } else {
      listener.onWholeResponse(response.status(), headers, buffered.toByteArray());
    }
  }

  @Override
  public void onBroken(String cause) {
    fail(AttemptOutcome.BROKEN, cause);
  }

  @Override
  public void onNotSent(String cause) {
    fail(AttemptOutcome.UNREACHABLE, cause);
  }

  private boolean isStream() {
    return response.isSuccess() && response.isEventStream();
  }

  private void buffer(byte[] bytes) {
    boolean isOptional = response.isSuccess();
    long size = (long) buffered.size() + bytes.length;
    boolean hasRoom =
        size <= MAXIMUM_BUFFERED_BYTES && (!isOptional || tryBuffer(bytes.length * GROWTH_FACTOR));
    if (!isOptional) {
      hold(size * GROWTH_FACTOR);
    }
    buffered.writeBytes(bytes);
    if (hasRoom) {
      return;
    }
    if (!isOptional) {
      fail(
          AttemptOutcome.BROKEN,
          "the body of a response with status %d is longer than %d bytes"
              .formatted(response.status(), MAXIMUM_BUFFERED_BYTES));
    } else {
      isPassingThrough = true;
      listener.onBegin(response.status(), headers, declaredLength);
      listener.onPiece(buffered.toByteArray());
      buffered = new ByteArrayOutputStream();
      hold(0);
    }
  }

  private boolean tryBuffer(long bytes) {
    boolean isReserved = buffering.memory().tryBuffer(bytes);
    if (isReserved) {
      heldBytes += bytes;
    } else {
      buffering.onUnbuffered().run();
    }
    return isReserved;
  }

  /** Changes what is held for what was read and not passed on. */
  private void hold(long bytes) {
    long change = bytes - heldBytes;
    heldBytes = bytes;
    if (change != 0) {
      buffering.memory().hold(Kind.RESPONSE, change);
    }
  }

  private void end() {
    isOver = true;
    buffering.memory().removeBuffer(drop);
    hold(0);
  }

  /** Frees all that is buffered, as the caller's connection is being closed. */
  private void drop() {
    end();
    buffered = new ByteArrayOutputStream();
    splitter = new EventSplitter();
  }

  private void onEvents(byte[] bytes) {
    for (EventSplitter.Event event : splitter.feed(bytes)) {
      if (isOver) {
        return;
      }
      onEvent(event);
    }
    if (!isOver) {
      hold((long) splitter.pendingBytes() * GROWTH_FACTOR);
    }
  }

  private void onEvent(EventSplitter.Event event) {
    commentBytes = event.isComment() ? commentBytes + event.bytes().length : 0;
    if (commentBytes > MAXIMUM_COMMENT_BYTES) {
      fail(
          AttemptOutcome.BROKEN,
          "more than %d bytes of comments without an event".formatted(MAXIMUM_COMMENT_BYTES));
      return;
    }
    DeliveredResponse delivered = listener.delivered();
    DeliveredResponse.EventOrder order =
        event.isComment()
            ? DeliveredResponse.EventOrder.NEXT
            : delivered.orderOf(event.id(), !hasPassedOnEvent);
    if (order == DeliveredResponse.EventOrder.GAP) {
      fail(
          AttemptOutcome.BROKEN,
          "event %s arrived after event %s"
              .formatted(nameOf(event.id()), nameOf(delivered.lastEventId())));
    } else if (order == DeliveredResponse.EventOrder.NEXT) {
      hasPassedOnEvent |= !event.isComment();
      listener.onBegin(response.status(), headers, OptionalLong.empty());
      listener.onEvent(event);
    }
  }

  private static String nameOf(OptionalLong id) {
    return id.isPresent() ? Long.toString(id.getAsLong()) : "without an id";
  }

  private void endStream() {
    if (splitter.isWithinEvent()) {
      fail(AttemptOutcome.BROKEN, "the stream ended within an event");
      return;
    }
    end();
    listener.onBegin(response.status(), headers, OptionalLong.empty());
    listener.onEnd();
  }

  private static boolean impliesNotRun(int status) {
    return status == UNAVAILABLE || status == TOO_MANY_REQUESTS || status == REQUEST_TIMEOUT;
  }

  private void fail(AttemptOutcome outcome, String cause) {
    if (!isOver) {
      end();
      listener.onFailure(outcome, cause, Optional.empty());
    }
  }
}
