package dev.ibishub.bench.overload;

import dev.ibishub.bench.model.EngineParameters;
import dev.ibishub.bench.model.EventQueue;
import dev.ibishub.bench.model.ModelRequest;
import dev.ibishub.bench.model.TargetModel;
import dev.ibishub.bench.model.TargetModel.Discipline;
import dev.ibishub.bench.model.Workload;
import dev.ibishub.core.Admission;
import dev.ibishub.core.AdmissionDecision;
import dev.ibishub.core.AdmissionOptions;
import dev.ibishub.core.AdmissionQuery;
import dev.ibishub.core.RouteQuery;
import dev.ibishub.core.Router;
import dev.ibishub.core.RouterOptions;
import dev.ibishub.core.WorkspaceLimits;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/** Simulation of one load under one policy, with callers that retry. Not thread-safe. */
final class OverloadRun {
  static final double WARM_UP_SECONDS = 10;
  static final double END_SECONDS = 40;
  static final double DEADLINE_SECONDS = 4;
  private static final int TARGETS = 4;
  private static final int ENTRIES = 6;
  private static final int WORKSPACES = 8;
  private static final int PROMPT_TOKENS = 300;
  private static final int OUTPUT_TOKENS = 100;
  private static final int MAX_ATTEMPTS = 4;
  private static final int QUEUE_BOUND = 64;
  private static final double REPORT_PERIOD_SECONDS = 0.2;
  private static final double SERVICE_SECONDS = 2;
  private static final double MICROS_PER_SECOND = 1e6;

  private final EventQueue events = new EventQueue();
  private final Policy policy;
  private final Random random;
  private final List<TargetModel> targets;
  private final List<Router> routers;
  private final List<Admission> admissions;
  private final Map<ModelRequest, Caller> callers = new HashMap<>();
  private final Histogram refusalMicros = new Histogram(3);
  private final double[] inTimeBySecond = new double[(int) END_SECONDS + 1];
  private double requests;
  private double attempts;
  private double answeredInTime;
  private double tokens;
  private double wastedTokens;
  private int nextTarget;

  private OverloadRun(Policy policy, long seed) {
    this.policy = policy;
    this.random = new Random(seed);
    Discipline discipline =
        policy == Policy.IBISHUB ? Discipline.FAIR : Discipline.FIRST_IN_FIRST_OUT;
    this.targets =
        IntStream.range(0, TARGETS)
            .mapToObj(
                number ->
                    new TargetModel(
                        "target-" + number,
                        "zone",
                        Set.of("model"),
                        events,
                        EngineParameters.defaults(),
                        discipline,
                        this::ended))
            .toList();
    this.routers =
        IntStream.range(0, ENTRIES)
            .mapToObj(number -> Router.create(RouterOptions.defaults()))
            .toList();
    this.admissions =
        IntStream.range(0, ENTRIES)
            .mapToObj(number -> Admission.create(AdmissionOptions.defaults()))
            .toList();
  }

  /** Runs a load, given for each second as a multiple of the capacity. */
  static Result run(Policy policy, DoubleUnaryOperator load, long seed) {
    return new OverloadRun(policy, seed).simulate(load);
  }

  private Result simulate(DoubleUnaryOperator load) {
    routers.forEach(router -> router.setEntries(ENTRIES));
    reportAll();
    events.every(REPORT_PERIOD_SECONDS, this::reportAll);
    double rate =
        TARGETS
            * EngineParameters.defaults().capacity(PROMPT_TOKENS, OUTPUT_TOKENS)
            / (OUTPUT_TOKENS + ModelRequest.PROMPT_TOKEN_COST * PROMPT_TOKENS);
    IntStream.range(0, (int) END_SECONDS)
        .forEach(
            second ->
                IntStream.range(0, WORKSPACES)
                    .forEach(
                        number ->
                            workload(number, rate * load.applyAsDouble(second))
                                .send(events, random, second, second + 1, this::arrived)));
    events.runUntil(END_SECONDS);
    double seconds = END_SECONDS - WARM_UP_SECONDS;
    return new Result(
        answeredInTime / seconds,
        tokens == 0 ? 0 : wastedTokens / tokens,
        attempts / requests,
        refusalMicros.getTotalCount() == 0 ? 0 : refusalMicros.getValueAtPercentile(99) / 1000.0,
        refusalMicros.getTotalCount() / requests,
        Arrays.stream(inTimeBySecond).boxed().toList());
  }

  private static Workload workload(int number, double rate) {
    return new Workload(
        "workspace-" + number,
        1,
        rate / WORKSPACES,
        PROMPT_TOKENS,
        OUTPUT_TOKENS,
        0,
        DEADLINE_SECONDS);
  }

  private void arrived(ModelRequest request, double draw) {
    boolean counted = events.seconds() >= WARM_UP_SECONDS;
    requests += counted ? 1 : 0;
    attempt(request, new Caller((int) (draw * ENTRIES), 1, counted, events.seconds()));
  }

  private void attempt(ModelRequest request, Caller caller) {
    switch (policy) {
      case NO_CONTROL -> dispatch(request, caller, nextTarget++ % TARGETS);
      case BOUNDED_QUEUE -> {
        int target = nextTarget++ % TARGETS;
        if (targets.get(target).queued() >= QUEUE_BOUND) {
          refused(request, caller, events.seconds() + random.nextDouble());
        } else {
          dispatch(request, caller, target);
        }
      }
      case IBISHUB -> admitAndRoute(request, caller);
      default -> throw new IllegalStateException();
    }
  }

  private void admitAndRoute(ModelRequest request, Caller caller) {
    Router router = routers.get(caller.entry());
    AdmissionQuery query =
        new AdmissionQuery(
            request.workspace(),
            WorkspaceLimits.unlimited(),
            0,
            request.estimatedTokens(),
            SERVICE_SECONDS,
            router.estimatedStart("model", events.now()).orElseThrow(),
            events.instant(request.deadlineAt()));
    AdmissionDecision decision = admissions.get(caller.entry()).admit(query, events.now());
    if (!decision.admitted()) {
      Instant retryAt = decision.retryAt().orElseThrow();
      double wait = Duration.between(events.now(), retryAt).toNanos() / 1e9;
      refused(request, caller, events.seconds() + wait * (1 + random.nextDouble()));
      return;
    }
    RouteQuery route = new RouteQuery("model", "zone", 0, request.estimatedTokens(), Set.of());
    String chosen = router.choose(route, events.now(), random).orElseThrow();
    router.sent(chosen, request.estimatedTokens(), events.now());
    dispatch(request, caller, Integer.parseInt(chosen.substring("target-".length())));
  }

  private void dispatch(ModelRequest request, Caller caller, int target) {
    attempts += caller.counted() ? 1 : 0;
    callers.put(request, caller);
    if (policy == Policy.IBISHUB) {
      targets.get(target).submit(request, request.deadlineAt() - SERVICE_SECONDS);
    } else {
      targets.get(target).submit(request);
      events.after(DEADLINE_SECONDS, () -> timedOut(request));
    }
  }

  /** Retries a request whose caller got no answer; the timed-out attempt goes on at its target. */
  private void timedOut(ModelRequest request) {
    Caller caller = callers.get(request);
    if (caller != null && caller.attemptNumber() < MAX_ATTEMPTS) {
      callers.put(request, caller.nextAttempt());
      attempt(request.retry(events.seconds(), DEADLINE_SECONDS), caller.nextAttempt());
    }
  }

  private void refused(ModelRequest request, Caller caller, double retryAt) {
    if (caller.counted()) {
      refusalMicros.recordValue(
          (long) ((events.seconds() - caller.attemptedAt()) * MICROS_PER_SECOND));
    }
    if (caller.attemptNumber() >= MAX_ATTEMPTS) {
      return;
    }
    events.after(
        retryAt - events.seconds(),
        () ->
            attempt(
                request.retry(events.seconds(), DEADLINE_SECONDS),
                caller.nextAttempt().attemptedAt(events.seconds())));
  }

  private void ended(ModelRequest request) {
    Caller caller = callers.remove(request);
    release(request, caller, request.actualTokens());
    if (!caller.counted()) {
      return;
    }
    tokens += request.actualTokens();
    if (request.finishedAt() <= request.deadlineAt()) {
      answeredInTime++;
      inTimeBySecond[(int) events.seconds()]++;
    } else {
      wastedTokens += request.actualTokens();
    }
  }

  private void release(ModelRequest request, Caller caller, double used) {
    if (policy == Policy.IBISHUB) {
      Admission admission = admissions.get(caller.entry());
      String workspace = request.workspace();
      admission.started(workspace, request.estimatedTokens(), events.now());
      admission.finished(workspace, request.estimatedTokens(), used, events.now());
    }
  }

  private void reportAll() {
    if (policy != Policy.IBISHUB) {
      return;
    }
    targets.forEach(
        target -> {
          target.removeExpired().forEach(this::expired);
          routers.forEach(router -> router.report(target.status(), events.now()));
        });
  }

  private void expired(ModelRequest request) {
    Caller caller = callers.remove(request);
    release(request, caller, 0);
    refused(request, caller, events.seconds() + random.nextDouble());
  }

  /** Ways to handle overload. */
  enum Policy {
    NO_CONTROL("no control"),
    BOUNDED_QUEUE("bounded queues"),
    IBISHUB("ibishub");

    private final String label;

    Policy(String label) {
      this.label = label;
    }

    String label() {
      return label;
    }
  }

  private record Caller(int entry, int attemptNumber, boolean counted, double attemptedAt) {
    Caller nextAttempt() {
      return new Caller(entry, attemptNumber + 1, counted, attemptedAt);
    }

    Caller attemptedAt(double seconds) {
      return new Caller(entry, attemptNumber, counted, seconds);
    }
  }

  /**
   * The results of a run, without its warm-up.
   *
   * @param goodput complete answers a second that came in time
   * @param wasted share of the tokens generated for answers that came after the deadline
   * @param amplification attempts at targets per request
   * @param refusalMillis 99th percentile of the time to a refusal, in milliseconds
   * @param refusals refusals per request
   * @param inTimeBySecond complete answers in time, by second of the run
   */
  record Result(
      double goodput,
      double wasted,
      double amplification,
      double refusalMillis,
      double refusals,
      List<Double> inTimeBySecond) {}
}
