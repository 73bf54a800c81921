package dev.ibishub.gateway.front;

import dev.ibishub.core.ResultCode;
import dev.ibishub.core.serving.AttemptOutcome;
import dev.ibishub.core.serving.DeliveredResponse;
import dev.ibishub.core.serving.RetryAdvice;
import dev.ibishub.core.serving.TargetChoice;
import dev.ibishub.core.serving.TargetLoad;
import dev.ibishub.core.serving.crashes.SendPermission;
import dev.ibishub.gateway.callers.CallerExchange;
import dev.ibishub.gateway.callers.CallerResponse;
import dev.ibishub.gateway.model.EngineProfile;
import dev.ibishub.gateway.model.ServingConfiguration;
import dev.ibishub.gateway.model.Workspace;
import dev.ibishub.runtime.IndependentSteps;
import dev.ibishub.runtime.MonotonicClock;
import io.netty.channel.Channel;
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
 * One request of a caller, from its last byte to the end of its response. Runs on the event loop of
 * the caller's connection; not thread-safe. Used on the platform of ibishub's users; {@code
 * dev.ibishub.entry.RequestRunner} is the counterpart behind ibishub's own interface.
 *
 * <p>Where {@link ServiceAdmission} applies, it decides whether and when a request is first sent.
 * Elsewhere requests are not queued: each is sent to a target or refused at once, as a request that
 * is queued at one entry is not visible to the others and can't go to whichever target has room
 * first. Only a group of ranks that is about to open is waited for, for less than a second.
 */
final class Exchange implements CallerExchange {
  /**
   * Least time left until the deadline for a request to be sent, milliseconds; with less, no target
   * could respond in time.
   */
  private static final long MINIMUM_LEFT_MILLIS = 15;

  /** Value of {@code Retry-After} while the service has no usable target, milliseconds. */
  private static final long NO_TARGET_RETRY_MILLIS = 500;

  /**
   * Value of {@code Retry-After} while this entry drains, milliseconds; other entries serve the
   * request at once.
   */
  private static final long LEAVING_RETRY_MILLIS = 10;

  /**
   * Divisor of the time between a request's arrival and its deadline; the result is the longest
   * wait for engines that are about to accept requests, or for what becomes of another request.
   */
  private static final long WAIT_DIVISOR = 8;

  /** Interval between checks whether such a wait is over, milliseconds. */
  private static final long CHECK_MILLIS = 60;

  private final RequestContext context;
  private final EventLoop loop;
  private final AttemptRelay.Buffering buffering;
  private final FullHttpRequest request;
  private final CallerResponse response;
  private final Runnable onDone;
  private final CallerRequest caller;
  private final ExchangeLog log;
  private final long arrivedAt = MonotonicClock.millis();
  private final ResponseTimings timings = new ResponseTimings(arrivedAt);

  /** Ids of the targets that the next send leaves out, as the request was sent there before. */
  private final Set<String> tried = new HashSet<>();

  private final List<Attempt> attempts = new ArrayList<>();

  private Routing.Routed routed;
  private ScheduledFuture<?> timer;

  private Optional<AttemptRelay.Failure> lastFailure = Optional.empty();
  private CrashGuard guard;
  private RetryGate retries;

  /** Whether a send that waits for its time is scheduled. */
  private boolean isSendScheduled;

  /** The request for admission, if the service has any. */
  private Optional<AdmissionTicket> ticket = Optional.empty();

  private boolean isAdmitted;

  /** When the wait for a group that is about to open ends, on the monotonic clock, milliseconds. */
  private long engineWaitUntil = Long.MAX_VALUE;

  /** When the wait for another request's result ends, on the monotonic clock, milliseconds. */
  private long heldUntil = Long.MAX_VALUE;

  private boolean isOver;

  /**
   * Creates an exchange.
   *
   * @param buffering where responses are buffered
   * @param request the whole request; released when the exchange is done
   * @param onDone called when the response was written or aborted
   */
  Exchange(
      RequestContext context,
      Channel channel,
      AttemptRelay.Buffering buffering,
      FullHttpRequest request,
      Runnable onDone) {
    this.context = context;
    this.loop = channel.eventLoop();
    this.buffering = buffering;
    this.request = request;
    this.response = new CallerResponse(channel, request, context.stop()::isLeaving);
    this.onDone = onDone;
    this.caller = context.dialect().read(request);
    this.log = new ExchangeLog(caller, arrivedAt, context.entries());
  }

  @Override
  public void start() {
    if (caller.namesTarget()) {
      // A record names the address of an entry as a target's.
      refuse(ResultCode.NOT_A_TARGET, 0);
      return;
    }
    double random = ThreadLocalRandom.current().nextDouble();
    Optional<ServingConfiguration> configuration = context.configuration().get();
    if (configuration.isEmpty()) {
      long sinceStart = arrivedAt - context.startedAt();
      refuse(
          ResultCode.NOT_READY, RetryAdvice.whileStarting(sinceStart, caller.waitMillis(), random));
      return;
    }
    Routing found = Routing.of(configuration.get(), request, caller, arrivedAt, random);
    log.onRouting(found);
    if (found instanceof Routing.Refused refused) {
      refuse(refused.code(), 0);
      return;
    }
    routed = (Routing.Routed) found;
    if (context.stop().mayInterrupt(routed.deadline())) {
      refuse(ResultCode.ENTRY_LEAVING, LEAVING_RETRY_MILLIS);
      return;
    }
    guard = new CrashGuard(context.crashes(), request, routed, caller.promptParts());
    if (guard.permission(arrivedAt) == SendPermission.QUARANTINED) {
      refuseQuarantined();
      return;
    }
    retries =
        new RetryGate(
            routed.retryRule(),
            guard::mayRepeat,
            now -> context.budgets().tryRetry(routed.service(), now),
            caller.lastEventId());
    timer =
        loop.schedule(
            this::onDeadline,
            Math.max(0, routed.deadline() - MonotonicClock.millis()),
            TimeUnit.MILLISECONDS);
    context.budgets().onRequest(routed.service(), arrivedAt);
    send();
  }

  private void refuseQuarantined() {
    log.ended("request.quarantined", ResultCode.REQUEST_QUARANTINED, guard.cause(), sends());
    response.writeRefusal(ResultCode.REQUEST_QUARANTINED, 0);
    complete("quarantined");
  }

  /** Ends the exchange because the caller's connection closed, and cancels its attempts. */
  @Override
  public void onCallerGone() {
    if (isOver) {
      return;
    }
    long noticedAt = MonotonicClock.millis();
    List<Attempt> cancelled = List.copyOf(attempts);
    complete("left");
    long cancelMillis = MonotonicClock.millis() - noticedAt;
    context.metrics().onCancelled(cancelMillis);
    log.left(
        cancelled.stream().map(Attempt::targetId).toList(),
        cancelled.stream().filter(Attempt::isConnected).map(Attempt::targetId).toList(),
        cancelMillis,
        sends());
  }

  /**
   * Stops or resumes reading from targets as the caller's connection becomes unwritable or
   * writable.
   */
  @Override
  public void onWritable(boolean writable) {
    attempts.forEach(attempt -> attempt.relay.setReading(writable));
  }

  @Override
  public boolean closesConnection() {
    return response.isLast();
  }

  /** Sends the request to a target, or ends the exchange if there is none. */
  private void send() {
    long now = MonotonicClock.millis();
    if (routed.deadline() - now < MINIMUM_LEFT_MILLIS) {
      onDeadline();
      return;
    }
    if (sends() == 0 && !isPermitted(now)) {
      return;
    }
    List<TargetDirectory.ListedTarget> usable = context.targets().usable(routed.service());
    List<TargetLoad> loads = usable.stream().map(TargetDirectory.ListedTarget::load).toList();
    if (TargetChoice.areForming(loads, now) && mayWaitForEngines(now)) {
      sendLater();
      return;
    }
    boolean isClosed = TargetChoice.areClosed(loads, now);
    if (!isClosed && !loads.isEmpty() && needsAdmission()) {
      requestAdmission();
      return;
    }
    Optional<TargetDirectory.ListedTarget> chosen =
        isClosed ? Optional.empty() : choose(usable, now);
    if (chosen.isPresent()) {
      startAttempt(chosen.get(), now);
    } else if (!isClosed && isWithheldFromColdTargets(usable, now) && mayWaitForEngines(now)) {
      sendLater();
    } else {
      onNoTarget(loads, isClosed, now);
    }
  }

  /** Whether this request may be sent for the first time; if not, refuses it or tries later. */
  private boolean isPermitted(long now) {
    SendPermission permission = guard.permission(now);
    if (permission == SendPermission.QUARANTINED) {
      refuseQuarantined();
    } else if (permission == SendPermission.HELD) {
      heldUntil = Math.min(heldUntil, now + (routed.deadline() - arrivedAt) / WAIT_DIVISOR);
      if (now < heldUntil) {
        sendLater();
      } else {
        refuse(ResultCode.REQUEST_SUSPECTED, NO_TARGET_RETRY_MILLIS);
      }
    }
    return permission == SendPermission.ALLOWED;
  }

  /**
   * Whether the first send of this request waits for a decision. Streams that were resumed here and
   * requests that were sent before do not: their callers wait for the rest.
   */
  private boolean needsAdmission() {
    return !isAdmitted
        && sends() == 0
        && caller.lastEventId().isEmpty()
        && context.admission().appliesTo(routed.service());
  }

  private void requestAdmission() {
    AdmissionTicket requested =
        new AdmissionTicket(
            caller.attemptId(),
            routed,
            context.admission().request(routed, caller, arrivedAt),
            loop,
            this::onAdmitted,
            this::onNotAdmitted);
    ticket = Optional.of(requested);
    context.admission().request(requested);
  }

  private void onAdmitted() {
    isAdmitted = true;
    sendUnlessOver();
  }

  private void onNotAdmitted(ResultCode code, long retryMillis, String cause) {
    if (!isOver) {
      end(code, retryMillis, cause);
    }
  }

  private void sendUnlessOver() {
    isSendScheduled = false;
    if (!isOver) {
      send();
    }
  }

  private void sendLater() {
    scheduleSend(CHECK_MILLIS);
  }

  private void scheduleSend(long delayMillis) {
    isSendScheduled = true;
    loop.schedule(this::sendUnlessOver, delayMillis, TimeUnit.MILLISECONDS);
  }

  private int sends() {
    return retries == null ? 0 : retries.sends();
  }

  /** Whether the wait for engines that are about to accept requests may go on. */
  private boolean mayWaitForEngines(long now) {
    long formationTimeoutMillis =
        routed.engine().map(EngineProfile::formationTimeoutMillis).orElse(0L);
    long patience =
        Math.min(formationTimeoutMillis, (routed.deadline() - arrivedAt) / WAIT_DIVISOR);
    engineWaitUntil = Math.min(engineWaitUntil, now + patience);
    return now < engineWaitUntil;
  }

  /**
   * Whether only cold targets have room, and none may get this request yet. After a loss of power
   * all engines are cold, while the entries, which have just started too, have no share of their
   * limits for the first second or two.
   */
  private boolean isWithheldFromColdTargets(List<TargetDirectory.ListedTarget> usable, long now) {
    return TargetDirectory.choose(choice(now), usable, tried, context.targets().ownZone(), now)
        .filter(target -> target.load().isCold(now))
        .isPresent();
  }

  private void startAttempt(TargetDirectory.ListedTarget target, long now) {
    log.onTarget(target);
    tried.add(target.target().id());
    retries.onSent();
    guard.onSent(now);
    target.load().onSent(now);
    context.admission().onSent(routed.service(), now);
    if (!isAdmitted || sends() > 1) {
      context.admission().onFurtherSend(routed.service(), now);
    }
    context.targetLimits().onSent(routed.service(), target.target().incarnation(), now);
    Attempt attempt = new Attempt(target, now);
    attempt.relay =
        AttemptRelay.start(
            loop, context.dialect(), target.address(), requestFor(target, now), buffering, attempt);
    attempts.add(attempt);
    attempt.silenceMonitor.start(routed, now);
  }

  /**
   * Sends a hedged request: asks another target while the silent ones keep running, if the request
   * may run there too.
   */
  private void sendHedge() {
    long now = MonotonicClock.millis();
    Optional<TargetDirectory.ListedTarget> other =
        choose(context.targets().usable(routed.service()), now);
    if (other.isPresent() && retries.tryTakeRetry(attempts.size(), now)) {
      startAttempt(other.get(), now);
    }
  }

  private Optional<TargetDirectory.ListedTarget> choose(
      List<TargetDirectory.ListedTarget> usable, long now) {
    List<TargetDirectory.ListedTarget> allowed =
        usable.stream()
            .filter(target -> context.targetLimits().allows(target.target().incarnation(), now))
            .toList();
    return TargetDirectory.choose(choice(now), allowed, tried, context.targets().ownZone(), now);
  }

  private TargetChoice choice(long now) {
    double maximumRequests =
        routed
            .engine()
            .map(profile -> profile.slots() + queueLimit(profile))
            .map(Integer::doubleValue)
            .orElse(Double.MAX_VALUE);
    return context
        .admission()
        .choice(routed.service(), maximumRequests, now)
        .orElseGet(() -> new TargetChoice(context.entries().getAsInt(), maximumRequests));
  }

  /**
   * Returns how many requests may wait at an engine for this one to be sent there. After admission
   * one is enough to keep slots in use between two reports: what waits at an engine can't go to
   * another one that has room first.
   */
  private int queueLimit(EngineProfile profile) {
    return isAdmitted && sends() == 0
        ? 1
        : profile.queueLimit(routed.route().latencyObjectiveMillis());
  }

  private FullHttpRequest requestFor(TargetDirectory.ListedTarget target, long now) {
    FullHttpRequest copy = HopByHopHeaders.endToEndCopy(request);
    context
        .dialect()
        .writeTargetHeaders(
            copy.headers(),
            new TargetRequest(
                target.target().id(),
                routed.deadline() - now,
                routed.workspace().map(Workspace::name),
                retries.delivered().lastEventId(),
                routed.priority()));
    return copy;
  }

  private void onNoTarget(List<TargetLoad> loads, boolean isClosed, long now) {
    if (response.isHeadWritten()) {
      endBroken("no other target to resume the stream at");
      return;
    }
    if (retries.runs() > 0) {
      endFailed("no other target to try");
      return;
    }
    double random = ThreadLocalRandom.current().nextDouble();
    long left = routed.deadline() - now;
    if (context.targets().isEvacuated(routed.service())) {
      // An operator restores a zone after minutes rather than milliseconds, so the caller's only
      // retry is best made as late as the caller waits.
      end(
          ResultCode.NO_TARGET,
          RetryAdvice.whileClosed(left, random),
          "all zones with targets of the service are evacuated");
    } else if (loads.isEmpty()) {
      refuse(ResultCode.NO_TARGET, NO_TARGET_RETRY_MILLIS);
    } else if (isClosed) {
      refuse(ResultCode.NO_TARGET, RetryAdvice.whileClosed(left, random));
    } else {
      OptionalLong millisUntilBackOffEnds = TargetChoice.millisUntilBackOffEnds(loads, now);
      refuse(
          ResultCode.OVERLOADED,
          millisUntilBackOffEnds.isPresent()
              ? RetryAdvice.whileBackingOff(millisUntilBackOffEnds.getAsLong(), left, random)
              : retryMillisWhenFull(random));
    }
  }

  private long retryMillisWhenFull(double random) {
    if (isAdmitted) {
      return RetryAdvice.whileClosed(routed.deadline() - MonotonicClock.millis(), random);
    }
    return routed
        .engine()
        .map(profile -> RetryAdvice.whenFull(profile.slotWaitMillis(), random))
        .orElseGet(() -> RetryAdvice.whenFull(random));
  }

  /** One attempt at one target, and the handling of its result. */
  private final class Attempt implements AttemptRelay.Listener {
    private final TargetDirectory.ListedTarget target;
    private final long sentAt;
    private AttemptRelay relay;
    private final SilenceMonitor silenceMonitor;
    private boolean isSilent;

    /** Bytes of the response's body that were written to the caller. */
    private long writtenBytes;

    private final PassTimes passTimes = new PassTimes(context.admission(), routed.service());

    Attempt(TargetDirectory.ListedTarget target, long sentAt) {
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
      if (attempts.contains(this) && !relay.isResponding()) {
        isSilent = true;
        sendHedge();
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
        failOver(MonotonicClock.millis());
      }
    }

    /**
     * Abandons the target and resumes the stream at another one. Without another target or a retry
     * left in the budget, the stream stays where it is: silence alone is no reason to end it, as
     * the target may continue.
     */
    private void failOver(long now) {
      Optional<TargetDirectory.ListedTarget> other =
          choose(context.targets().usable(routed.service()), now);
      if (other.isEmpty() || !retries.tryTakeRetry(1, now)) {
        return;
      }
      end("silent");
      guard.onAbandoned(loop, target, sentAt, now);
      target.load().onAnswer(false, now);
      retries.onFailed(AttemptOutcome.BROKEN);
      log.attemptFailed(
          AttemptOutcome.BROKEN,
          "silent while other streams of the service make progress",
          writtenBytes,
          true,
          sends());
      startAttempt(other.get(), now);
    }

    /** Ends the attempt; whatever the target still sends is ignored. */
    void end(String outcome) {
      silenceMonitor.stop();
      relay.cancel();
      attempts.remove(this);
      target.load().onEnded();
      passTimes.onEnded();
      context.metrics().onAttemptEnded(routed.service(), outcome);
    }

    /** Tells the guard of a run that is given up before its answer began. */
    void noteAbandoned() {
      if (!hasBegun()) {
        guard.onAbandoned(loop, target, sentAt, MonotonicClock.millis());
      }
    }

    private String targetId() {
      return target.target().id();
    }

    private boolean isConnected() {
      return relay.isConnected();
    }

    private boolean hasBegun() {
      return passTimes.hasBegun();
    }

    private void endOthers() {
      List.copyOf(attempts).stream()
          .filter(other -> !other.equals(this))
          .forEach(Attempt::endSuperseded);
    }

    private void endSuperseded() {
      if (isSilent) {
        target.load().onAnswer(false, MonotonicClock.millis());
      }
      end("overtaken");
    }

    @Override
    public DeliveredResponse delivered() {
      return retries.delivered();
    }

    @Override
    public void onResponse(TargetResponse head) {
      head.backOffMillis().ifPresent(this::onBackOffRequested);
      if (head.isLeaving()) {
        context.targets().onLeavingResponse(target);
      }
      head.coldRemainingMillis()
          .ifPresent(millis -> context.targets().onColdResponse(target, millis));
      context
          .targetLimits()
          .onResponse(target.target().incarnation(), head.requestsPerSecond(), sentAt);
    }

    private void onBackOffRequested(long millis) {
      log.backOffRequested(target, millis);
      target.load().onBackOffRequested(MonotonicClock.millis() + millis);
    }

    @Override
    public void onWholeResponse(int status, HttpHeaders headers, byte[] body) {
      endOthers();
      long now = MonotonicClock.millis();
      timings.onPiece(now);
      context.services().responseTimes(routed.service()).onSuccess(now - sentAt);
      guard.onAnswerBegun(now);
      onSuccess();
      response.writeWhole(status, headers, body);
      complete("ok");
    }

    @Override
    public void onBegin(int status, HttpHeaders headers, OptionalLong bodyLength) {
      endOthers();
      if (!response.isHeadWritten()) {
        response.writeHead(status, headers, bodyLength);
      }
    }

    @Override
    public void onEvent(EventSplitter.Event event) {
      retries.onEventDelivered(event);
      if (!event.isComment()) {
        onProgress();
      }
      write(event.bytes());
    }

    @Override
    public void onPiece(byte[] bytes) {
      retries.onPartDelivered();
      onProgress();
      write(bytes);
    }

    /** Takes in a piece that shows that the target works on its answer, as comments don't. */
    private void onProgress() {
      long now = MonotonicClock.millis();
      silenceMonitor.onPiece(now);
      timings.onPiece(now);
      context.services().streamProgress(routed.service()).onPiece(now);
      if (!hasBegun()) {
        guard.onAnswerBegun(now);
      }
      passTimes.onPiece(now);
    }

    private void write(byte[] bytes) {
      writtenBytes += bytes.length;
      response.writePiece(bytes);
      if (!response.isWritable()) {
        relay.setReading(false);
        passTimes.onSuspended();
      }
    }

    @Override
    public void onEnd() {
      onSuccess();
      response.finish();
      complete("ok");
    }

    private void onSuccess() {
      long now = MonotonicClock.millis();
      target.load().onAnswer(true, now);
      guard.onCompleted(now);
      context
          .metrics()
          .onResponse(routed.service(), timings.firstPieceMillis(), timings.longestPauseMillis());
      log.logIfLate(routed.route(), timings, sends());
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
      if (outcome == AttemptOutcome.MISDIRECTED) {
        context.targets().onMisdirected(target);
      }
      retries.onFailed(outcome);
      lastFailure = failure.or(() -> lastFailure);
      Runnable next = () -> onAttemptFailed(outcome, cause, writtenBytes, isCallersFault);
      boolean isBroken = outcome == AttemptOutcome.BROKEN;
      // A retry depends on whether the request crashed its target, which is checked first.
      boolean awaitsCheck = isBroken && retries.mayBeContinued();
      if (isBroken) {
        guard.onBroken(loop, target, sentAt, hasBegun(), awaitsCheck ? next : () -> {});
      }
      if (!awaitsCheck) {
        next.run();
      }
    }
  }

  private void onAttemptFailed(
      AttemptOutcome outcome, String cause, long writtenBytes, boolean isCallersFault) {
    if (isOver) {
      return;
    }
    boolean isOtherUnderWay = !attempts.isEmpty() || isSendScheduled;
    boolean isRetried =
        !isOtherUnderWay && !isCallersFault && retries.tryTakeRetry(0, MonotonicClock.millis());
    log.attemptFailed(outcome, cause, writtenBytes, isRetried, sends());
    if (isOtherUnderWay) {
      return;
    }
    if (isRetried) {
      sendAgain(outcome);
    } else if (response.isHeadWritten()) {
      endBroken(cause);
    } else if (retries.runs() > 0) {
      endFailed(cause);
    } else {
      refuse(
          ResultCode.TARGET_UNREACHABLE,
          RetryAdvice.whenFull(ThreadLocalRandom.current().nextDouble()));
    }
  }

  private void sendAgain(AttemptOutcome outcome) {
    long left = routed.deadline() - MonotonicClock.millis();
    long pause = retries.retryDelayMillis(outcome, left);
    if (pause == 0) {
      send();
      return;
    }
    // Targets that refused the request may accept it after the pause.
    tried.clear();
    scheduleSend(pause);
  }

  private void onDeadline() {
    if (isOver) {
      return;
    }
    String cause = "deadline passed";
    if (response.isHeadWritten()) {
      endBroken(cause);
      return;
    }
    boolean mayHaveRun = retries.runs() > 0 || !attempts.isEmpty();
    attempts.stream()
        .filter(attempt -> !attempt.relay.isResponding())
        .forEach(attempt -> attempt.target.load().onAnswer(false, MonotonicClock.millis()));
    if (mayHaveRun) {
      end(ResultCode.DEADLINE_PASSED_RUNNING, 0, cause);
    } else {
      double random = ThreadLocalRandom.current().nextDouble();
      end(ResultCode.DEADLINE_UNREACHABLE, RetryAdvice.whenFull(random), cause);
    }
  }

  private void endFailed(String cause) {
    if (lastFailure.isEmpty()) {
      end(ResultCode.TARGET_LOST, 0, cause);
      return;
    }
    log.ended("request.failed", ResultCode.ENGINE_FAILED, cause, sends());
    AttemptRelay.Failure failed = lastFailure.get();
    response.writeWhole(failed.status(), failed.headers(), failed.body());
    complete("target_failed");
  }

  private void endBroken(String cause) {
    log.ended("request.broken", ResultCode.TARGET_LOST, cause, sends());
    response.abort();
    complete("broken");
  }

  private void refuse(ResultCode code, long retryMillis) {
    end(code, retryMillis, "");
  }

  private void end(ResultCode code, long retryMillis, String cause) {
    log.ended("request.refused", code, cause, sends());
    response.writeRefusal(code, retryMillis);
    complete(code.name().toLowerCase(Locale.ROOT));
  }

  /**
   * Ends the exchange. Connections to targets are closed first, as targets work on until then, and
   * nothing that fails here keeps the rest from ending.
   */
  private void complete(String result) {
    isOver = true;
    List<Attempt> running = List.copyOf(attempts);
    List<Runnable> steps = new ArrayList<>();
    running.forEach(attempt -> steps.add(attempt.relay::cancel));
    steps.add(() -> ticket.ifPresent(context.admission()::withdraw));
    running.forEach(attempt -> steps.add(attempt::noteAbandoned));
    running.forEach(attempt -> steps.add(() -> attempt.end("cancelled")));
    steps.add(() -> Optional.ofNullable(timer).ifPresent(each -> each.cancel(false)));
    steps.add(
        () -> context.metrics().onRequestEnded(routed == null ? "" : routed.service(), result));
    steps.add(request::release);
    steps.add(onDone);
    IndependentSteps.run("end of a request", steps);
  }
}
