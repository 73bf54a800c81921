package dev.ibishub.gateway.front;

import dev.ibishub.core.ResultCode;
import dev.ibishub.core.serving.AttemptOutcome;
import dev.ibishub.core.serving.CrashedRun;
import dev.ibishub.core.serving.RequestIdentity;
import dev.ibishub.core.serving.ReturnAdvice;
import dev.ibishub.core.serving.TargetChoice;
import dev.ibishub.core.serving.TargetLoad;
import dev.ibishub.gateway.model.EngineProfile;
import dev.ibishub.gateway.model.ServingConfiguration;
import dev.ibishub.gateway.model.Workspace;
import dev.ibishub.runtime.MonotonicClock;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
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
 * <p>Nothing waits here for room: a request is sent to a target at once or refused at once, as a
 * request that waits in one entry is not seen by the others and can't be placed where room comes
 * free first. Only a group of ranks that is about to open is waited for, less than a second.
 */
final class Exchange {
  /** With less time than this left no target could answer; the request ends. Milliseconds. */
  private static final long LEAST_USEFUL_MILLIS = 15;

  /** Until a retry may help when nothing is known of targets, milliseconds. */
  private static final long UNKNOWN_RETRY_MILLIS = 500;

  /** Until a caller should go to another entry, milliseconds; there it is served at once. */
  private static final long LEAVING_RETRY_MILLIS = 10;

  /** A group of ranks that is about to open is waited for at most this part of the time left. */
  private static final long FORMING_PART = 8;

  /** Time between two looks at a group that is about to open, milliseconds. */
  private static final long FORMING_LOOK_MILLIS = 60;

  private final RequestContext context;
  private final EventLoop loop;
  private final FullHttpRequest request;
  private final CallerAnswer answer;
  private final Runnable onDone;
  private final CallerRequest caller;
  private final ExchangeLog log;
  private final long arrivedAt = MonotonicClock.millis();
  private final ResponseTimings timings = new ResponseTimings(arrivedAt);
  private final Set<String> tried = new HashSet<>();
  private final List<Attempt> attempts = new ArrayList<>();

  private Routing.Routed routed;
  private ScheduledFuture<?> timer;
  private int runs;
  private int sends;
  private Optional<AttemptRelay.Failure> lastFailure = Optional.empty();
  private OptionalLong lastEventId = OptionalLong.empty();
  private Optional<RequestIdentity> identity = Optional.empty();
  private long groupUntil = Long.MAX_VALUE;
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
    double point = ThreadLocalRandom.current().nextDouble();
    Optional<ServingConfiguration> configuration = context.configuration().get();
    if (configuration.isEmpty()) {
      long sinceStart = arrivedAt - context.startedAt();
      refuse(
          ResultCode.NOT_READY, ReturnAdvice.whileStarting(sinceStart, caller.waitMillis(), point));
      return;
    }
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
    if (isQuarantined(arrivedAt)) {
      quarantine();
      return;
    }
    lastEventId = caller.lastEventId();
    timer =
        loop.schedule(
            this::onDeadline,
            Math.max(0, routed.deadline() - MonotonicClock.millis()),
            TimeUnit.MILLISECONDS);
    context.budgets().onRequest(routed.service(), arrivedAt);
    send();
  }

  private boolean isQuarantined(long now) {
    return context.crashes().isQuarantined(this::identity, now);
  }

  private RequestIdentity identity() {
    if (identity.isEmpty()) {
      identity =
          Optional.of(
              RequestIdentity.of(
                  request.uri(),
                  routed.workspace().map(Workspace::name).orElse(""),
                  ByteBufUtil.getBytes(request.content())));
    }
    return identity.get();
  }

  private void quarantine() {
    String cause = "crashed %d targets in a row".formatted(context.crashes().crashes(identity()));
    log.ended("request.quarantined", ResultCode.REQUEST_QUARANTINED, cause, sends);
    answer.refusal(ResultCode.REQUEST_QUARANTINED, 0);
    done("quarantined");
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
    attempts.forEach(attempt -> attempt.relay.setReading(writable));
  }

  /** Sends the request to a target, or ends it where there is none. */
  private void send() {
    long now = MonotonicClock.millis();
    if (routed.deadline() - now < LEAST_USEFUL_MILLIS) {
      onDeadline();
      return;
    }
    List<TargetDirectory.Known> usable = context.targets().usable(routed.service());
    List<TargetLoad> loads = usable.stream().map(TargetDirectory.Known::load).toList();
    if (TargetChoice.areForming(loads, now) && mayWaitForGroup(now)) {
      loop.schedule(this::sendUnlessOver, FORMING_LOOK_MILLIS, TimeUnit.MILLISECONDS);
      return;
    }
    boolean isClosed = TargetChoice.areClosed(loads, now);
    Optional<TargetDirectory.Known> chosen = isClosed ? Optional.empty() : choose(usable, now);
    if (chosen.isEmpty()) {
      onNoTarget(loads, isClosed, now);
      return;
    }
    attempt(chosen.get(), now);
  }

  private void sendUnlessOver() {
    if (!isOver) {
      send();
    }
  }

  /** Whether a group that is about to open is still waited for; a short while only. */
  private boolean mayWaitForGroup(long now) {
    long forming = routed.engine().map(EngineProfile::formingMillis).orElse(0L);
    long patience = Math.min(forming, (routed.deadline() - arrivedAt) / FORMING_PART);
    groupUntil = Math.min(groupUntil, now + patience);
    return now < groupUntil;
  }

  private void attempt(TargetDirectory.Known target, long now) {
    log.onTarget(target);
    tried.add(target.target().id());
    sends++;
    target.load().onSent(now);
    context.targetLimits().onSent(routed.service(), target.target().life(), now);
    Attempt attempt = new Attempt(target, now);
    attempts.add(attempt);
    attempt.relay =
        AttemptRelay.start(
            loop, context.dialect(), target.address(), copyFor(target, now), attempt);
    attempt.silenceMonitor.start(routed, now);
  }

  /** Asks one more target beside those that are silent, where the request may run there too. */
  private void sendBeside() {
    long now = MonotonicClock.millis();
    Optional<TargetDirectory.Known> other = choose(context.targets().usable(routed.service()), now);
    if (other.isPresent() && mayGoOn(AttemptOutcome.BROKEN, runs + attempts.size(), now)) {
      attempt(other.get(), now);
    }
  }

  /** Whether the request may be sent once more; takes that from the budget. */
  private boolean mayGoOn(AttemptOutcome outcome, int runsSoFar, long now) {
    return routed.retryRule().allowsAnother(outcome, runsSoFar, sends)
        && !isQuarantined(now)
        && context.budgets().tryRetry(routed.service(), now);
  }

  private Optional<TargetDirectory.Known> choose(List<TargetDirectory.Known> usable, long now) {
    double full =
        routed
            .engine()
            .map(profile -> profile.slots() + profile.waitingPlaces(routed.route().aimMillis()))
            .map(Integer::doubleValue)
            .orElse(Double.MAX_VALUE);
    TargetChoice choice = new TargetChoice(context.entries().getAsInt(), full);
    List<TargetDirectory.Known> allowed =
        usable.stream()
            .filter(target -> context.targetLimits().allows(target.target().life(), now))
            .toList();
    return TargetDirectory.choose(choice, allowed, tried, context.targets().ownZone(), now);
  }

  private FullHttpRequest copyFor(TargetDirectory.Known target, long now) {
    FullHttpRequest copy = HopByHopHeaders.endToEndCopy(request);
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

  private void onNoTarget(List<TargetLoad> loads, boolean isClosed, long now) {
    if (answer.isBegun()) {
      endBroken("no other target to go on at");
      return;
    }
    if (runs > 0) {
      endFailed("no other target to try");
      return;
    }
    double point = ThreadLocalRandom.current().nextDouble();
    long left = routed.deadline() - now;
    if (loads.isEmpty()) {
      refuse(ResultCode.NO_TARGET, UNKNOWN_RETRY_MILLIS);
    } else if (isClosed) {
      refuse(ResultCode.NO_TARGET, ReturnAdvice.whileClosed(left, point));
    } else {
      OptionalLong untilRested = TargetChoice.untilRested(loads, now);
      refuse(
          ResultCode.OVERLOADED,
          untilRested.isPresent()
              ? ReturnAdvice.whileResting(untilRested.getAsLong(), left, point)
              : adviceWhenFull(point));
    }
  }

  private long adviceWhenFull(double point) {
    return routed
        .engine()
        .map(profile -> ReturnAdvice.whenFull(profile.slotFreesMillis(), point))
        .orElseGet(() -> ReturnAdvice.whenFull(point));
  }

  /** One attempt at one target, and what it brings. */
  private final class Attempt implements AttemptRelay.Listener {
    private final TargetDirectory.Known target;
    private final long sentAt;
    private AttemptRelay relay;
    private final SilenceMonitor silenceMonitor;
    private boolean isSilent;

    Attempt(TargetDirectory.Known target, long sentAt) {
      this.target = target;
      this.sentAt = sentAt;
      this.silenceMonitor =
          new SilenceMonitor(
              loop,
              context.services(),
              routed.service(),
              new SilenceMonitor.Listener(
                  this::isQueueing, this::onHedgeDue, this::onStreamSilent));
    }

    private void onHedgeDue() {
      if (attempts.contains(this) && !relay.isAnswering()) {
        isSilent = true;
        sendBeside();
      }
    }

    private boolean isQueueing(long now) {
      return routed
          .engine()
          .map(profile -> target.load().isQueueing(now, profile.slots()))
          .orElse(false);
    }

    private void onStreamSilent() {
      if (attempts.contains(this)) {
        moveElsewhere(MonotonicClock.millis());
      }
    }

    /**
     * Gives the target up for another one. Without another one, or a retry left in the budget, the
     * stream stays where it is: silence alone is no reason to end it, it may yet go on.
     */
    private void moveElsewhere(long now) {
      Optional<TargetDirectory.Known> other =
          choose(context.targets().usable(routed.service()), now);
      if (other.isEmpty() || !mayGoOn(AttemptOutcome.BROKEN, runs + 1, now)) {
        return;
      }
      end("silent");
      context.crashes().onSilent(brokenRun(now));
      target.load().onAnswer(false, now);
      runs++;
      log.attemptFailed(
          AttemptOutcome.BROKEN, "silent while the service's other streams move", true, sends);
      attempt(other.get(), now);
    }

    /** Ends the attempt, whatever it still brings. */
    void end(String outcome) {
      silenceMonitor.stop();
      relay.cancel();
      attempts.remove(this);
      target.load().onEnded();
      context.metrics().onAttemptEnded(routed.service(), outcome);
    }

    private CrashedRun brokenRun(long now) {
      return new CrashedRun(identity(), target.target().life(), sentAt, now);
    }

    private void endOthers() {
      List.copyOf(attempts).stream()
          .filter(other -> !other.equals(this))
          .forEach(Attempt::endOvertaken);
    }

    private void endOvertaken() {
      if (isSilent) {
        target.load().onAnswer(false, MonotonicClock.millis());
      }
      end("overtaken");
    }

    @Override
    public OptionalLong lastEventId() {
      return lastEventId;
    }

    @Override
    public void onAnswer(TargetAnswer said) {
      said.restMillis().ifPresent(this::onRestAsked);
      if (said.isLeaving()) {
        context.targets().onLeavingResponse(target);
      }
      context.targetLimits().onResponse(target.target().life(), said.requestsPerSecond(), sentAt);
    }

    private void onRestAsked(long millis) {
      log.backOffRequested(target, millis);
      target.load().onRestAsked(MonotonicClock.millis() + millis);
    }

    @Override
    public void onWhole(int status, HttpHeaders headers, byte[] body) {
      endOthers();
      long now = MonotonicClock.millis();
      timings.onPiece(now);
      context.services().responseTimes(routed.service()).onGood(now - sentAt);
      onGoodAnswer();
      answer.whole(status, headers, body);
      done("ok");
    }

    @Override
    public void onBegin(int status, HttpHeaders headers) {
      endOthers();
      if (!answer.isBegun()) {
        answer.begin(status, headers);
      }
    }

    @Override
    public void onPart(byte[] bytes, OptionalLong eventId) {
      if (eventId.isPresent()) {
        lastEventId = eventId;
      }
      long now = MonotonicClock.millis();
      silenceMonitor.onPiece(now);
      timings.onPiece(now);
      context.services().streamProgress(routed.service()).onPiece(now);
      answer.part(bytes);
      if (!answer.isWritable()) {
        relay.setReading(false);
      }
    }

    @Override
    public void onEnd() {
      onGoodAnswer();
      answer.end();
      done("ok");
    }

    private void onGoodAnswer() {
      target.load().onAnswer(true, MonotonicClock.millis());
      context.crashes().onCompleted(Exchange.this::identity);
      context
          .metrics()
          .onResponse(routed.service(), timings.firstPieceMillis(), timings.longestPauseMillis());
      log.logIfLate(routed.route(), timings, sends);
      end("ok");
    }

    @Override
    public void onFailure(
        AttemptOutcome outcome, String cause, Optional<AttemptRelay.Failure> failure) {
      end(outcome.name().toLowerCase(Locale.ROOT));
      boolean isCallersFault =
          failure.map(each -> each.status() >= 400 && each.status() < 500).orElse(false);
      if (outcome == AttemptOutcome.UNREACHABLE || outcome == AttemptOutcome.MISDIRECTED) {
        target.load().onUnreachable(MonotonicClock.millis());
      } else {
        target.load().onAnswer(isCallersFault, MonotonicClock.millis());
      }
      runs += outcome.mayHaveRun() ? 1 : 0;
      lastFailure = failure.or(() -> lastFailure);
      Runnable next = () -> onAttemptFailed(outcome, cause, isCallersFault);
      if (outcome == AttemptOutcome.BROKEN) {
        // Whether to send it on hangs on whether it crashed the target.
        long now = MonotonicClock.millis();
        context.crashes().onBroken(loop, brokenRun(now), target.address(), next);
      } else {
        next.run();
      }
    }
  }

  private void onAttemptFailed(AttemptOutcome outcome, String cause, boolean isCallersFault) {
    if (isOver) {
      return;
    }
    boolean isOtherUnderWay = !attempts.isEmpty();
    boolean another =
        !isOtherUnderWay && !isCallersFault && mayGoOn(outcome, runs, MonotonicClock.millis());
    log.attemptFailed(outcome, cause, another, sends);
    if (isOtherUnderWay) {
      return;
    }
    if (another) {
      sendAgain(outcome);
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

  private void sendAgain(AttemptOutcome outcome) {
    long left = routed.deadline() - MonotonicClock.millis();
    long pause = routed.retryRule().pauseMillis(outcome, sends, left);
    if (pause == 0) {
      send();
      return;
    }
    // Who refused before may take the request by then.
    tried.clear();
    loop.schedule(this::sendUnlessOver, pause, TimeUnit.MILLISECONDS);
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
    boolean mayHaveRun = runs > 0 || !attempts.isEmpty();
    attempts.stream()
        .filter(attempt -> !attempt.relay.isAnswering())
        .forEach(attempt -> attempt.target.load().onAnswer(false, MonotonicClock.millis()));
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

  private void done(String result) {
    isOver = true;
    List.copyOf(attempts).forEach(attempt -> attempt.end("cancelled"));
    if (timer != null) {
      timer.cancel(false);
    }
    request.release();
    context.metrics().onRequestEnded(routed == null ? "" : routed.service(), result);
    onDone.run();
  }
}
