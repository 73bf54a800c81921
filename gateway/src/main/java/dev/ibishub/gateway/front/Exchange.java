package dev.ibishub.gateway.front;

import dev.ibishub.core.ResultCode;
import dev.ibishub.core.serving.AttemptOutcome;
import dev.ibishub.core.serving.RequestKind;
import dev.ibishub.core.serving.ReturnAdvice;
import dev.ibishub.core.serving.SilenceRule;
import dev.ibishub.core.serving.TargetChoice;
import dev.ibishub.gateway.model.ServingConfiguration;
import dev.ibishub.gateway.model.Workspace;
import dev.ibishub.runtime.MonotonicClock;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * One request of a caller, from its last byte to the end of its answer. Runs on the event loop of
 * the caller's connection; not thread-safe.
 *
 * <p>Nothing waits here: a request is sent to a target at once or refused at once, as a request
 * that waits in one entry is not seen by the others and can't be placed where room comes free
 * first.
 */
final class Exchange {
  /** With less time than this left no target could answer; the request ends. Milliseconds. */
  private static final long LEAST_USEFUL_MILLIS = 15;

  /**
   * Requests that may wait at an engine beyond its slots. With eight streams of some two seconds
   * each, one place comes free every quarter of a second, so the second in the queue would already
   * miss a first piece within 0.4 s.
   */
  static final double WAITING_PER_TARGET = 1;

  /** Until a retry may help when nothing is known of targets, milliseconds. */
  private static final long UNKNOWN_RETRY_MILLIS = 500;

  /** Until a caller should go to another entry, milliseconds; there it is served at once. */
  private static final long LEAVING_RETRY_MILLIS = 10;

  /**
   * How long a page may take before another target is asked, milliseconds. Pages take 60 to 90 and
   * hardly one in a hundred more than this; a target that swallows requests otherwise costs the
   * caller the whole time of the route.
   */
  private static final long PAGE_SILENCE_MILLIS = 260;

  /** Time between two looks at whether a stream has gone silent, milliseconds. */
  private static final long STREAM_LOOK_MILLIS = 150;

  private final RequestContext context;
  private final EventLoop loop;
  private final FullHttpRequest request;
  private final CallerAnswer answer;
  private final Runnable onDone;
  private final CallerRequest caller;
  private final ExchangeLog log;
  private final long arrivedAt = MonotonicClock.millis();
  private final PauseWatch pauses = new PauseWatch(arrivedAt);
  private final Set<String> tried = new HashSet<>();

  private Routing.Routed routed;
  private ScheduledFuture<?> timer;
  private ScheduledFuture<?> silence;
  private AttemptRelay attempt;
  private TargetDirectory.Known target;
  private long heardAt;
  private boolean hasPiece;
  private int runs;
  private int sends;
  private Optional<AttemptRelay.Failure> lastFailure = Optional.empty();
  private OptionalLong lastEventId = OptionalLong.empty();
  private boolean isOver;

  /**
   * Creates an exchange.
   *
   * @param request the whole request; released when the exchange is done
   * @param onDone called when the answer has been written or broken off
   */
  Exchange(
      RequestContext context,
      EventLoop loop,
      FullHttpRequest request,
      CallerAnswer answer,
      Runnable onDone) {
    this.context = context;
    this.loop = loop;
    this.request = request;
    this.answer = answer;
    this.onDone = onDone;
    this.caller = context.dialect().read(request);
    this.log = new ExchangeLog(caller.attemptId(), arrivedAt, context.entries());
  }

  void start() {
    Optional<ServingConfiguration> configuration = context.configuration().get();
    if (configuration.isEmpty()) {
      refuse(ResultCode.NOT_READY, UNKNOWN_RETRY_MILLIS);
      return;
    }
    double point = ThreadLocalRandom.current().nextDouble();
    Routing found = Routing.of(configuration.get(), request, caller, arrivedAt, point);
    log.onRouting(found);
    if (found instanceof Routing.Refused refused) {
      refuse(refused.code(), 0);
      return;
    }
    routed = (Routing.Routed) found;
    if (context.stop().mayCut(routed.deadline())) {
      refuse(ResultCode.ENTRY_LEAVING, LEAVING_RETRY_MILLIS);
      return;
    }
    lastEventId = caller.lastEventId();
    timer =
        loop.schedule(
            this::onDeadline,
            Math.max(0, routed.deadline() - MonotonicClock.millis()),
            TimeUnit.MILLISECONDS);
    context.budgets().of(routed.service()).onRequest(arrivedAt);
    send();
  }

  /** The caller's connection is gone: the work for it stops. */
  void onCallerGone() {
    if (!isOver) {
      log.ended("request.left", ResultCode.CANCELLED, "caller closed its connection", sends);
      done("left");
    }
  }

  /** The caller reads again, or no longer. */
  void onWritable(boolean writable) {
    if (attempt != null) {
      attempt.setReading(writable);
    }
  }

  private void send() {
    long now = MonotonicClock.millis();
    if (routed.deadline() - now < LEAST_USEFUL_MILLIS) {
      onDeadline();
      return;
    }
    List<TargetDirectory.Known> usable = context.targets().usable(routed.service());
    boolean isClosed =
        TargetChoice.areClosed(usable.stream().map(TargetDirectory.Known::load).toList(), now);
    Optional<TargetDirectory.Known> chosen = isClosed ? Optional.empty() : choose(usable, now);
    if (chosen.isEmpty()) {
      onNoTarget(usable.isEmpty(), isClosed, now);
      return;
    }
    target = chosen.get();
    log.onTarget(target);
    tried.add(target.target().id());
    sends++;
    heardAt = now;
    hasPiece = false;
    target.load().onSent(now);
    InetSocketAddress address =
        new InetSocketAddress(target.target().host(), target.target().port());
    attempt =
        AttemptRelay.start(
            loop, context.dialect(), address, targetRequest(now), new RelayListener());
    watchSilence();
  }

  /** Has an attempt looked after that another target may take over when this one is silent. */
  private void watchSilence() {
    AttemptRelay watched = attempt;
    if (routed.route().kind() == RequestKind.IDEMPOTENT && routed.engine().isEmpty()) {
      silence =
          loop.schedule(() -> onPageSilence(watched), PAGE_SILENCE_MILLIS, TimeUnit.MILLISECONDS);
    } else if (routed.route().kind() == RequestKind.RESUMABLE_STREAM) {
      silence =
          loop.scheduleWithFixedDelay(
              () -> onStreamLook(watched),
              STREAM_LOOK_MILLIS,
              STREAM_LOOK_MILLIS,
              TimeUnit.MILLISECONDS);
    }
  }

  private void onPageSilence(AttemptRelay watched) {
    if (!watched.isAnswering()) {
      giveUpSilent(watched, "no answer in time");
    }
  }

  private void onStreamLook(AttemptRelay watched) {
    long now = MonotonicClock.millis();
    boolean mayWait =
        routed
            .engine()
            .map(profile -> target.load().isQueueing(now, profile.slots()))
            .orElse(false);
    OptionalLong movingSince = context.streams().of(routed.service()).movingSince(now);
    if (SilenceRule.isLost(now, heardAt, hasPiece, mayWait, movingSince)) {
      giveUpSilent(watched, "silent while the service's other streams move");
    }
  }

  /** Gives a silent target up for another one, where the request may run at one more. */
  private void giveUpSilent(AttemptRelay watched, String cause) {
    boolean isCurrent = !isOver && watched.equals(attempt);
    if (isCurrent && routed.retryRule().allowsAnother(AttemptOutcome.BROKEN, runs + 1, sends)) {
      onAttemptFailed(AttemptOutcome.BROKEN, cause, Optional.empty());
    }
  }

  private Optional<TargetDirectory.Known> choose(List<TargetDirectory.Known> usable, long now) {
    List<TargetDirectory.Known> shuffled = new ArrayList<>(usable);
    Collections.shuffle(shuffled, ThreadLocalRandom.current());
    List<TargetChoice.Candidate> candidates =
        shuffled.stream()
            .map(
                each ->
                    new TargetChoice.Candidate(
                        each.target().id(),
                        each.target().zone().equals(context.targets().ownZone()),
                        each.load()))
            .toList();
    double full =
        routed
            .engine()
            .map(profile -> profile.slots() + WAITING_PER_TARGET)
            .orElse(Double.MAX_VALUE);
    return new TargetChoice(context.entries().getAsInt(), full)
        .choose(candidates, tried, now)
        .flatMap(
            candidate ->
                usable.stream()
                    .filter(each -> each.target().id().equals(candidate.id()))
                    .findFirst());
  }

  private FullHttpRequest targetRequest(long now) {
    FullHttpRequest copy =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            request.method(),
            request.uri(),
            Unpooled.copiedBuffer(request.content()));
    copy.headers().set(request.headers());
    boolean hasBody =
        request.content().isReadable()
            || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
            || request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
    HopHeaders.removeFrom(copy.headers());
    if (hasBody) {
      copy.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
    }
    context
        .dialect()
        .address(
            copy.headers(),
            new TargetRequest(
                target.target().id(),
                routed.deadline() - now,
                routed.workspace().map(Workspace::name),
                lastEventId,
                routed.priority()));
    return copy;
  }

  private void onNoTarget(boolean noneKnown, boolean isClosed, long now) {
    if (answer.isBegun()) {
      endBroken("no other target to go on at");
      return;
    }
    if (runs > 0) {
      endFailed("no other target to try");
      return;
    }
    double point = ThreadLocalRandom.current().nextDouble();
    if (noneKnown) {
      refuse(ResultCode.NO_TARGET, UNKNOWN_RETRY_MILLIS);
    } else if (isClosed) {
      refuse(ResultCode.NO_TARGET, ReturnAdvice.whileClosed(routed.deadline() - now, point));
    } else {
      refuse(ResultCode.OVERLOADED, ReturnAdvice.whenFull(point));
    }
  }

  /** Takes what one attempt brings. */
  private final class RelayListener implements AttemptRelay.Listener {
    @Override
    public OptionalLong lastEventId() {
      return lastEventId;
    }

    @Override
    public void onWhole(int status, HttpHeaders headers, byte[] body) {
      pauses.onPiece(MonotonicClock.millis());
      onGoodAnswer();
      answer.whole(status, headers, body);
      done("ok");
    }

    @Override
    public void onBegin(int status, HttpHeaders headers) {
      if (!answer.isBegun()) {
        answer.begin(status, headers);
      }
    }

    @Override
    public void onPart(byte[] bytes, OptionalLong eventId) {
      if (eventId.isPresent()) {
        lastEventId = eventId;
      }
      heardAt = MonotonicClock.millis();
      hasPiece = true;
      pauses.onPiece(heardAt);
      context.streams().of(routed.service()).onPiece(heardAt);
      answer.part(bytes);
      if (!answer.isWritable()) {
        attempt.setReading(false);
      }
    }

    @Override
    public void onEnd() {
      onGoodAnswer();
      answer.end();
      done("ok");
    }

    @Override
    public void onFailure(
        AttemptOutcome outcome, String cause, Optional<AttemptRelay.Failure> failure) {
      onAttemptFailed(outcome, cause, failure);
    }
  }

  private void onGoodAnswer() {
    target.load().onAnswer(true, MonotonicClock.millis());
    context
        .metrics()
        .onAnswered(routed.service(), pauses.firstPieceMillis(), pauses.longestPauseMillis());
    log.answered(routed.route(), pauses, sends);
    endAttempt("ok");
  }

  private void onAttemptFailed(
      AttemptOutcome outcome, String cause, Optional<AttemptRelay.Failure> failure) {
    long now = MonotonicClock.millis();
    endAttempt(outcome.name().toLowerCase(Locale.ROOT));
    lastFailure = failure;
    boolean isCallersFault =
        failure.map(each -> each.status() >= 400 && each.status() < 500).orElse(false);
    if (outcome == AttemptOutcome.UNREACHABLE || outcome == AttemptOutcome.MISDIRECTED) {
      target.load().onUnreachable(now);
    } else {
      target.load().onAnswer(isCallersFault, now);
    }
    runs += outcome.mayHaveRun() ? 1 : 0;
    boolean another =
        !isCallersFault
            && routed.retryRule().allowsAnother(outcome, runs, sends)
            && context.budgets().of(routed.service()).tryRetry(now, context.entries().getAsInt());
    log.attemptFailed(outcome, cause, another, sends);
    if (another) {
      send();
    } else if (answer.isBegun()) {
      endBroken(cause);
    } else if (runs > 0) {
      endFailed(cause);
    } else {
      refuse(
          ResultCode.TARGET_UNREACHABLE,
          ReturnAdvice.whenFull(ThreadLocalRandom.current().nextDouble()));
    }
  }

  private void onDeadline() {
    if (isOver) {
      return;
    }
    String cause = "the time of the request is over";
    if (answer.isBegun()) {
      endBroken(cause);
      return;
    }
    boolean mayHaveRun = runs > 0 || attempt != null;
    if (attempt != null && !attempt.isAnswering()) {
      target.load().onAnswer(false, MonotonicClock.millis());
    }
    if (mayHaveRun) {
      end(ResultCode.DEADLINE_PASSED_RUNNING, 0, cause);
    } else {
      double point = ThreadLocalRandom.current().nextDouble();
      end(ResultCode.DEADLINE_UNREACHABLE, ReturnAdvice.whenFull(point), cause);
    }
  }

  private void endFailed(String cause) {
    if (lastFailure.isEmpty()) {
      end(ResultCode.TARGET_LOST, 0, cause);
      return;
    }
    log.ended("request.failed", ResultCode.ENGINE_FAILED, cause, sends);
    AttemptRelay.Failure failed = lastFailure.get();
    answer.whole(failed.status(), failed.headers(), failed.body());
    done("target_failed");
  }

  private void endBroken(String cause) {
    log.ended("request.broken", ResultCode.TARGET_LOST, cause, sends);
    answer.breakOff();
    done("broken");
  }

  private void refuse(ResultCode code, long retryMillis) {
    end(code, retryMillis, "");
  }

  private void end(ResultCode code, long retryMillis, String cause) {
    log.ended("request.refused", code, cause, sends);
    answer.refusal(code, retryMillis);
    done(code.name().toLowerCase(Locale.ROOT));
  }

  private void endAttempt(String outcome) {
    if (silence != null) {
      silence.cancel(false);
      silence = null;
    }
    if (attempt != null) {
      attempt.cancel();
      attempt = null;
      target.load().onEnded();
      context.metrics().onAttemptEnded(routed.service(), outcome);
    }
  }

  private void done(String result) {
    isOver = true;
    endAttempt("cancelled");
    if (timer != null) {
      timer.cancel(false);
    }
    request.release();
    context.metrics().onRequestEnded(routed == null ? "" : routed.service(), result);
    onDone.run();
  }
}
