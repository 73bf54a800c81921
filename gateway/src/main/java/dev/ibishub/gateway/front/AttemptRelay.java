package dev.ibishub.gateway.front;

import dev.ibishub.core.serving.AttemptOutcome;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Judges what one attempt's target sends: passes good answers on, tells failures apart. Runs on one
 * event loop; not thread-safe.
 *
 * <p>An answer of moderate size is passed on only when it is whole, so that one that breaks off can
 * still be replaced by another target's. Of an event stream only whole events are passed on, each
 * once and in order.
 */
final class AttemptRelay implements TargetCall.Listener {
  /** An answer beyond this size is passed on as it comes. Bytes. */
  private static final int HELD_BYTES = 256 << 10;

  private static final int MISDIRECTED = 421;
  private static final int REQUEST_TIMEOUT = 408;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;

  private final RequestDialect dialect;
  private final Listener listener;
  private final String attemptId;
  private final ByteArrayOutputStream held = new ByteArrayOutputStream();
  private final EventSplitter splitter = new EventSplitter();
  private TargetCall call;
  private TargetAnswer answer;
  private HttpHeaders headers;
  private boolean passesOn;
  private boolean isOver;

  /** A failure that the target answered with. */
  @SuppressWarnings("ArrayRecordComponent") // Handed on, never compared or hashed.
  record Failure(int status, HttpHeaders headers, byte[] body) {}

  /** Told what comes of the attempt. Nothing follows a whole answer, an end or a failure. */
  interface Listener {
    /** The last event that the caller has. */
    OptionalLong lastEventId();

    /** The target that was meant has begun to answer, well or not; comes first. */
    void onAnswer(TargetAnswer answer);

    void onWhole(int status, HttpHeaders headers, byte[] body);

    void onBegin(int status, HttpHeaders headers);

    void onPart(byte[] bytes, OptionalLong eventId);

    void onEnd();

    void onFailure(AttemptOutcome outcome, String cause, Optional<Failure> failure);
  }

  private AttemptRelay(RequestDialect dialect, String attemptId, Listener listener) {
    this.dialect = dialect;
    this.attemptId = attemptId;
    this.listener = listener;
  }

  static AttemptRelay start(
      EventLoop loop,
      RequestDialect dialect,
      InetSocketAddress address,
      FullHttpRequest request,
      Listener listener) {
    String attemptId = dialect.read(request).attemptId();
    AttemptRelay relay = new AttemptRelay(dialect, attemptId, listener);
    relay.call = TargetCall.start(loop, address, request, relay);
    return relay;
  }

  void cancel() {
    isOver = true;
    call.cancel();
  }

  /** Whether the target has begun to answer. */
  boolean isAnswering() {
    return answer != null;
  }

  void setReading(boolean reading) {
    call.setReading(reading);
  }

  @Override
  public void onHead(HttpResponse response) {
    answer = dialect.read(response);
    headers = new DefaultHttpHeaders().set(response.headers());
    HopByHopHeaders.removeFrom(headers);
    boolean isOthers = answer.attemptId().map(id -> !id.equals(attemptId)).orElse(false);
    if (!isOthers && answer.status() != MISDIRECTED) {
      listener.onAnswer(answer);
    }
    if (isOthers) {
      fail(AttemptOutcome.BROKEN, "answer to another attempt " + answer.attemptId().orElse(""));
    } else if (answer.status() == MISDIRECTED) {
      fail(AttemptOutcome.MISDIRECTED, "another target answered");
    } else if (answer.notRun()) {
      fail(AttemptOutcome.REFUSED, "target refused with " + answer.status());
    } else if (answer.isSuccess() && (!answer.isSigned() || answer.isEncoded())) {
      fail(AttemptOutcome.BROKEN, "success that the target does not vouch for");
    } else if (promisesNotRun(answer.status())) {
      fail(AttemptOutcome.BROKEN, "status " + answer.status() + " of a request that may have run");
    }
  }

  @Override
  public void onBody(byte[] bytes) {
    if (isOver) {
      return;
    }
    if (isStream()) {
      onEvents(bytes);
    } else if (passesOn) {
      listener.onPart(bytes, OptionalLong.empty());
    } else {
      hold(bytes);
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
    isOver = true;
    if (passesOn) {
      listener.onEnd();
    } else if (answer.status() >= 400) {
      Failure failure = new Failure(answer.status(), headers, held.toByteArray());
      listener.onFailure(
          AttemptOutcome.FAILED, "target answered " + answer.status(), Optional.of(failure));
    } else {
      listener.onWhole(answer.status(), headers, held.toByteArray());
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
    return answer.isSuccess() && answer.isEventStream();
  }

  private void hold(byte[] bytes) {
    held.writeBytes(bytes);
    if (held.size() > HELD_BYTES && answer.isSuccess()) {
      passesOn = true;
      listener.onBegin(answer.status(), headers);
      listener.onPart(held.toByteArray(), OptionalLong.empty());
      held.reset();
    }
  }

  private void onEvents(byte[] bytes) {
    for (EventSplitter.Event event : splitter.take(bytes)) {
      if (isOver) {
        return;
      }
      onEvent(event);
    }
  }

  private void onEvent(EventSplitter.Event event) {
    OptionalLong last = listener.lastEventId();
    if (event.id().isPresent() && last.isPresent()) {
      long expected = last.getAsLong() + 1;
      if (event.id().getAsLong() < expected) {
        return;
      }
      if (event.id().getAsLong() > expected) {
        fail(
            AttemptOutcome.BROKEN,
            "event " + event.id().getAsLong() + " came where " + expected + " was due");
        return;
      }
    }
    listener.onBegin(answer.status(), headers);
    listener.onPart(event.bytes(), event.id());
  }

  private void endStream() {
    if (splitter.isWithinEvent()) {
      fail(AttemptOutcome.BROKEN, "the stream ended within an event");
      return;
    }
    isOver = true;
    listener.onBegin(answer.status(), headers);
    listener.onEnd();
  }

  private static boolean promisesNotRun(int status) {
    return status == UNAVAILABLE || status == TOO_MANY_REQUESTS || status == REQUEST_TIMEOUT;
  }

  private void fail(AttemptOutcome outcome, String cause) {
    if (!isOver) {
      isOver = true;
      listener.onFailure(outcome, cause, Optional.empty());
    }
  }
}
