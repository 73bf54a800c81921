package dev.ibishub.gateway.front;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.serving.AttemptOutcome;
import dev.ibishub.core.serving.RequestKind;
import dev.ibishub.core.serving.RetryRule;
import dev.ibishub.core.serving.TargetChoice;
import dev.ibishub.gateway.model.EngineProfile;
import dev.ibishub.gateway.model.Route;
import dev.ibishub.gateway.model.Service;
import dev.ibishub.gateway.model.ServingConfiguration;
import dev.ibishub.gateway.model.Workspace;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.runtime.MonotonicClock;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
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
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** With less time than this left no target could answer; the request ends. Milliseconds. */
  private static final long LEAST_USEFUL_MILLIS = 15;

  /**
   * Requests that may wait at an engine beyond its slots. With eight streams of some two seconds
   * each, one place comes free every quarter of a second, so the second in the queue would already
   * miss a first piece within 0.4 s.
   */
  static final double WAITING_PER_TARGET = 1;

  /** Until a retry may help when there is no target at all, milliseconds. */
  private static final long NO_TARGET_RETRY_MILLIS = 500;

  /** Until a caller should go to another entry, milliseconds; there it is served at once. */
  private static final long LEAVING_RETRY_MILLIS = 10;

  /**
   * How long a page may take before another target is asked, milliseconds. Pages take 60 to 90 and
   * hardly one in a hundred more than this; a target that swallows requests otherwise costs the
   * caller the whole time of the route.
   */
  private static final long PAGE_SILENCE_MILLIS = 260;

  /** Least and most time until a refused caller comes back; spreads their return. Milliseconds. */
  private static final long FULL_RETRY_MILLIS = 250;

  private static final long FULL_RETRY_SPREAD_MILLIS = 500;

  private final RequestContext context;
  private final EventLoop loop;
  private final FullHttpRequest request;
  private final CallerAnswer answer;
  private final Runnable onDone;
  private final CallerRequest caller;
  private final long arrivedAt = MonotonicClock.millis();
  private final PauseWatch pauses = new PauseWatch(arrivedAt);
  private final Set<String> tried = new HashSet<>();

  private Route route;
  private String service = "";
  private Optional<Workspace> workspace = Optional.empty();
  private Optional<EngineProfile> engine = Optional.empty();
  private long configurationVersion;
  private long deadline;
  private RetryRule rule;
  private ScheduledFuture<?> timer;
  private AttemptRelay attempt;
  private TargetDirectory.Known target;
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
  }

  void start() {
    Optional<ServingConfiguration> configuration = context.configuration().get();
    if (configuration.isEmpty()) {
      refuse(ResultCode.NOT_READY, NO_TARGET_RETRY_MILLIS);
      return;
    }
    configurationVersion = configuration.get().version();
    Optional<Route> found = route(configuration.get());
    if (found.isEmpty()) {
      refuse(ResultCode.NOT_FOUND, 0);
      return;
    }
    route = found.get();
    workspace = caller.key().flatMap(configuration.get()::workspace);
    if (route.needsKey() && configuration.get().usesKeys() && workspace.isEmpty()) {
      refuse(ResultCode.UNAUTHENTICATED, 0);
      return;
    }
    service = route.destination(ThreadLocalRandom.current().nextDouble());
    engine =
        Optional.ofNullable(configuration.get().services().get(service)).flatMap(Service::engine);
    deadline =
        arrivedAt + Math.min(route.timeoutMillis(), caller.waitMillis().orElse(Long.MAX_VALUE));
    if (context.stop().mayCut(deadline)) {
      refuse(ResultCode.ENTRY_LEAVING, LEAVING_RETRY_MILLIS);
      return;
    }
    rule = new RetryRule(route.kind(), route.maximumRuns());
    lastEventId = caller.lastEventId();
    timer =
        loop.schedule(
            this::onDeadline,
            Math.max(0, deadline - MonotonicClock.millis()),
            TimeUnit.MILLISECONDS);
    context.budgets().of(service).onRequest(arrivedAt);
    send();
  }

  /** The caller's connection is gone: the work for it stops. */
  void onCallerGone() {
    if (!isOver) {
      log("request.left", ResultCode.CANCELLED, "caller closed its connection");
      done("left");
    }
  }

  /** The caller reads again, or no longer. */
  void onWritable(boolean writable) {
    if (attempt != null) {
      attempt.setReading(writable);
    }
  }

  private Optional<Route> route(ServingConfiguration configuration) {
    String host = request.headers().get(HttpHeaderNames.HOST, "");
    int query = request.uri().indexOf('?');
    String path = query < 0 ? request.uri() : request.uri().substring(0, query);
    int port = host.lastIndexOf(':');
    return configuration
        .route(host, path)
        .or(() -> port < 0 ? Optional.empty() : configuration.route(host.substring(0, port), path));
  }

  private void send() {
    long now = MonotonicClock.millis();
    if (deadline - now < LEAST_USEFUL_MILLIS) {
      onDeadline();
      return;
    }
    List<TargetDirectory.Known> usable = context.targets().usable(service);
    Optional<TargetDirectory.Known> chosen = choose(usable, now);
    if (chosen.isEmpty()) {
      onNoTarget(usable.isEmpty());
      return;
    }
    target = chosen.get();
    tried.add(target.target().id());
    sends++;
    target.load().onSent(now);
    InetSocketAddress address =
        new InetSocketAddress(target.target().host(), target.target().port());
    attempt =
        AttemptRelay.start(
            loop, context.dialect(), address, targetRequest(now), new RelayListener());
    if (route.kind() == RequestKind.IDEMPOTENT && engine.isEmpty()) {
      AttemptRelay watched = attempt;
      loop.schedule(() -> onSilence(watched), PAGE_SILENCE_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Gives a silent target up for another one, where the request may run at one more. */
  private void onSilence(AttemptRelay watched) {
    boolean isStillSilent = !isOver && watched.equals(attempt) && !watched.isAnswering();
    if (isStillSilent && rule.allowsAnother(AttemptOutcome.BROKEN, runs + 1, sends)) {
      onAttemptFailed(AttemptOutcome.BROKEN, "no answer in time", Optional.empty());
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
        engine.map(profile -> profile.slots() + WAITING_PER_TARGET).orElse(Double.MAX_VALUE);
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
                deadline - now,
                workspace.map(Workspace::name),
                lastEventId,
                engine.isPresent() ? priority() : OptionalInt.empty()));
    return copy;
  }

  private OptionalInt priority() {
    OptionalInt own = workspace.map(Workspace::priority).orElse(OptionalInt.empty());
    return OptionalInt.of(own.orElse(route.priority()));
  }

  private void onNoTarget(boolean noneKnown) {
    if (answer.isBegun()) {
      endBroken("no other target to go on at");
      return;
    }
    if (runs > 0) {
      endFailed("no other target to try");
      return;
    }
    refuse(
        noneKnown ? ResultCode.NO_TARGET : ResultCode.OVERLOADED,
        noneKnown
            ? NO_TARGET_RETRY_MILLIS
            : FULL_RETRY_MILLIS + ThreadLocalRandom.current().nextLong(FULL_RETRY_SPREAD_MILLIS));
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
      pauses.onPiece(MonotonicClock.millis());
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
    context.metrics().onAnswered(service, pauses.firstPieceMillis(), pauses.longestPauseMillis());
    if (pauses.isLate(route.aimMillis(), route.longestPauseMillis())) {
      log(
          "request.late",
          ResultCode.OK,
          "first piece after %d ms of %d, longest pause %d ms of %d"
              .formatted(
                  pauses.firstPieceMillis(),
                  route.aimMillis(),
                  pauses.longestPauseMillis(),
                  route.longestPauseMillis()));
    }
    endAttempt("ok");
  }

  private void onAttemptFailed(
      AttemptOutcome outcome, String cause, Optional<AttemptRelay.Failure> failure) {
    long now = MonotonicClock.millis();
    endAttempt(outcome.name().toLowerCase(Locale.ROOT));
    lastFailure = failure;
    boolean isCallersFault =
        failure.map(each -> each.status() >= 400 && each.status() < 500).orElse(false);
    if (outcome == AttemptOutcome.UNREACHABLE) {
      target.load().onUnreachable(now);
    } else {
      target.load().onAnswer(isCallersFault, now);
    }
    runs += outcome.mayHaveRun() ? 1 : 0;
    boolean another =
        !isCallersFault
            && rule.allowsAnother(outcome, runs, sends)
            && context.budgets().of(service).tryRetry(now, context.entries().getAsInt());
    logger.atInfo().log(
        "%s",
        LogEvent.of("attempt.failed")
            .request(caller.attemptId())
            .with("target", target.target().id())
            .with("outcome", outcome)
            .with("cause", cause)
            .with("again", another)
            .with("sends", sends)
            .with("after_ms", now - arrivedAt));
    if (another) {
      send();
    } else if (answer.isBegun()) {
      endBroken(cause);
    } else if (runs > 0) {
      endFailed(cause);
    } else {
      refuse(ResultCode.TARGET_UNREACHABLE, FULL_RETRY_MILLIS);
    }
  }

  private void onDeadline() {
    if (isOver) {
      return;
    }
    if (answer.isBegun()) {
      endBroken("the time of the request is over");
      return;
    }
    boolean mayHaveRun = runs > 0 || attempt != null;
    if (attempt != null && !attempt.isAnswering()) {
      target.load().onAnswer(false, MonotonicClock.millis());
    }
    end(
        mayHaveRun ? ResultCode.DEADLINE_PASSED_RUNNING : ResultCode.DEADLINE_UNREACHABLE,
        mayHaveRun ? 0 : FULL_RETRY_MILLIS,
        "the time of the request is over");
  }

  private void endFailed(String cause) {
    if (lastFailure.isEmpty()) {
      end(ResultCode.TARGET_LOST, 0, cause);
      return;
    }
    log("request.failed", ResultCode.ENGINE_FAILED, cause);
    AttemptRelay.Failure failed = lastFailure.get();
    answer.whole(failed.status(), failed.headers(), failed.body());
    done("target_failed");
  }

  private void endBroken(String cause) {
    log("request.broken", ResultCode.TARGET_LOST, cause);
    answer.breakOff();
    done("broken");
  }

  private void refuse(ResultCode code, long retryMillis) {
    end(code, retryMillis, "");
  }

  private void end(ResultCode code, long retryMillis, String cause) {
    log("request.refused", code, cause);
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    if (retryMillis > 0) {
      headers.set(
          HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.2f", retryMillis / 1_000.0));
    }
    String body = "{\"code\":" + code.number() + ",\"result\":\"" + code.name() + "\"}\n";
    answer.whole(code.httpStatus(), headers, body.getBytes(StandardCharsets.UTF_8));
    done(code.name().toLowerCase(Locale.ROOT));
  }

  private void endAttempt(String outcome) {
    if (attempt != null) {
      attempt.cancel();
      attempt = null;
      target.load().onEnded();
      context.metrics().onAttemptEnded(service, outcome);
    }
  }

  private void done(String result) {
    isOver = true;
    endAttempt("cancelled");
    if (timer != null) {
      timer.cancel(false);
    }
    request.release();
    context.metrics().onRequestEnded(service, result);
    onDone.run();
  }

  private void log(String event, ResultCode code, String cause) {
    logger.atInfo().log(
        "%s",
        LogEvent.of(event)
            .request(caller.attemptId())
            .code(code)
            .with("route", route == null ? "" : route.name())
            .with("service", service)
            .with("configuration", configurationVersion)
            .with("target", target == null ? "" : target.target().id())
            .with("load", target == null ? "" : loadOfTarget())
            .with("sends", sends)
            .with("after_ms", MonotonicClock.millis() - arrivedAt)
            .with("cause", cause));
  }

  /** What is believed of the target's load, and whether by its own word. */
  private String loadOfTarget() {
    long now = MonotonicClock.millis();
    int entries = context.entries().getAsInt();
    return "%.0f %s"
        .formatted(
            target.load().requests(now, entries),
            target.load().hasReport(now) ? "reported" : "estimated");
  }
}
