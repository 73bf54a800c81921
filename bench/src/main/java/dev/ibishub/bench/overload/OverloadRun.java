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

/** One load under one policy, with callers that try again. Not thread-safe. */
final class OverloadRun {
  static final double WARM_UP = 10;
  static final double END = 40;
  static final double DEADLINE = 4;
  private static final int TARGETS = 4;
  private static final int ENTRIES = 6;
  private static final int WORKSPACES = 8;
  private static final int PROMPT = 300;
  private static final int OUTPUT = 100;
  private static final int MOST_TRIES = 4;
  private static final int BOUND = 64;
  private static final double REPORT_PERIOD = 0.2;
  private static final double SERVICE_SECONDS = 2;
  private static final double MICROS = 1e6;

  private final EventQueue events = new EventQueue();
  private final Policy policy;
  private final Random random;
  private final List<TargetModel> targets;
  private final List<Router> routers;
  private final List<Admission> admissions;
  private final Map<ModelRequest, Caller> callers = new HashMap<>();
  private final Histogram refusal = new Histogram(3);
  private final double[] goodPerSecond = new double[(int) END + 1];
  private double requests;
  private double attempts;
  private double good;
  private double tokens;
  private double wasted;
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

  /** Runs a load that is given by second as a share of the capacity. */
  static Result run(Policy policy, DoubleUnaryOperator load, long seed) {
    return new OverloadRun(policy, seed).go(load);
  }

  private Result go(DoubleUnaryOperator load) {
    routers.forEach(router -> router.setEntries(ENTRIES));
    reportAll();
    events.every(REPORT_PERIOD, this::reportAll);
    double rate =
        TARGETS
            * EngineParameters.defaults().capacity(PROMPT, OUTPUT)
            / (OUTPUT + ModelRequest.PROMPT_TOKEN_COST * PROMPT);
    IntStream.range(0, (int) END)
        .forEach(
            second ->
                IntStream.range(0, WORKSPACES)
                    .forEach(
                        number ->
                            workload(number, rate * load.applyAsDouble(second))
                                .send(events, random, second, second + 1, this::arrived)));
    events.runUntil(END);
    double seconds = END - WARM_UP;
    return new Result(
        good / seconds,
        tokens == 0 ? 0 : wasted / tokens,
        attempts / requests,
        refusal.getTotalCount() == 0 ? 0 : refusal.getValueAtPercentile(99) / 1000.0,
        refusal.getTotalCount() / requests,
        Arrays.stream(goodPerSecond).boxed().toList());
  }

  private static Workload workload(int number, double rate) {
    return new Workload("workspace-" + number, 1, rate / WORKSPACES, PROMPT, OUTPUT, 0, DEADLINE);
  }

  private void arrived(ModelRequest request, double draw) {
    boolean counted = events.seconds() >= WARM_UP;
    requests += counted ? 1 : 0;
    attempt(request, new Caller((int) (draw * ENTRIES), 1, counted, events.seconds()));
  }

  private void attempt(ModelRequest request, Caller caller) {
    switch (policy) {
      case NO_CONTROL -> dispatch(request, caller, nextTarget++ % TARGETS);
      case BOUNDED_QUEUE -> {
        int target = nextTarget++ % TARGETS;
        if (targets.get(target).queued() >= BOUND) {
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
      events.after(DEADLINE, () -> timedOut(request));
    }
  }

  /** A caller without an answer gives up waiting and sends the request again. */
  private void timedOut(ModelRequest request) {
    Caller caller = callers.get(request);
    if (caller != null && caller.tries() < MOST_TRIES) {
      callers.put(request, caller.again());
      attempt(request.again(events.seconds(), DEADLINE), caller.again());
    }
  }

  private void refused(ModelRequest request, Caller caller, double retryAt) {
    if (caller.counted()) {
      refusal.recordValue((long) ((events.seconds() - caller.triedAt()) * MICROS));
    }
    if (caller.tries() >= MOST_TRIES) {
      return;
    }
    events.after(
        retryAt - events.seconds(),
        () ->
            attempt(
                request.again(events.seconds(), DEADLINE),
                caller.again().triedAt(events.seconds())));
  }

  private void ended(ModelRequest request) {
    Caller caller = callers.remove(request);
    release(request, caller, request.actualTokens());
    if (!caller.counted()) {
      return;
    }
    tokens += request.actualTokens();
    if (request.finishedAt() <= request.deadlineAt()) {
      good++;
      goodPerSecond[(int) events.seconds()]++;
    } else {
      wasted += request.actualTokens();
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

  /** How overload is met. */
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

  private record Caller(int entry, int tries, boolean counted, double triedAt) {
    Caller again() {
      return new Caller(entry, tries + 1, counted, triedAt);
    }

    Caller triedAt(double seconds) {
      return new Caller(entry, tries, counted, seconds);
    }
  }

  /**
   * What was measured after the warm-up.
   *
   * @param goodput whole answers in time, a second
   * @param wasted share of the tokens that went into answers that came too late
   * @param amplification attempts at targets for each request
   * @param refusalMillis p99 of the time to a refusal
   * @param refusals for each request
   * @param goodPerSecond whole answers in time, by second of the run
   */
  record Result(
      double goodput,
      double wasted,
      double amplification,
      double refusalMillis,
      double refusals,
      List<Double> goodPerSecond) {}
}
