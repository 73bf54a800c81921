package dev.ibishub.bench.fairness;

import dev.ibishub.bench.model.EngineParameters;
import dev.ibishub.bench.model.EventQueue;
import dev.ibishub.bench.model.ModelRequest;
import dev.ibishub.bench.model.TargetModel;
import dev.ibishub.bench.model.Workload;
import dev.ibishub.core.RouteQuery;
import dev.ibishub.core.Router;
import dev.ibishub.core.RouterOptions;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/** Simulation of several workspaces under one policy. */
final class FloodRun {
  static final int TARGETS = 16;
  private static final int ENTRIES = 6;
  private static final double WARM_UP_SECONDS = 10;
  private static final double END_SECONDS = 50;
  private static final double REPORT_PERIOD_SECONDS = 0.2;
  private static final double MICROS_PER_SECOND = 1e6;

  private final EventQueue events = new EventQueue();
  private final Policy policy;
  private final List<TargetModel> targets;
  private final List<Router> routers;
  private final Random random;
  private final Map<String, Double> served = new HashMap<>();
  private final Histogram smallFirstTokenMicros = new Histogram(3);
  private final Map<String, Integer> runningPerWorkspace = new HashMap<>();
  private int nextTarget;

  private FloodRun(Policy policy, long seed) {
    this.policy = policy;
    this.random = new Random(seed);
    this.targets =
        IntStream.range(0, TARGETS)
            .mapToObj(
                number ->
                    new TargetModel(
                        "target-" + number,
                        "zone-" + number % 3,
                        Set.of("model"),
                        events,
                        EngineParameters.defaults(),
                        policy.discipline(),
                        this::ended))
            .toList();
    this.routers =
        IntStream.range(0, ENTRIES)
            .mapToObj(number -> Router.create(RouterOptions.defaults()))
            .toList();
  }

  /** Runs the workloads; latency is recorded for workspaces whose name begins with "small". */
  static Result run(Policy policy, List<Workload> workloads, long seed) {
    FloodRun run = new FloodRun(policy, seed);
    return run.simulate(workloads, seed);
  }

  private Result simulate(List<Workload> workloads, long seed) {
    routers.forEach(router -> router.setEntries(ENTRIES));
    events.every(REPORT_PERIOD_SECONDS, this::report);
    report();
    IntStream.range(0, workloads.size())
        .forEach(
            number ->
                workloads
                    .get(number)
                    .send(events, new Random(seed + number), 0, END_SECONDS, this::arrived));
    events.runUntil(END_SECONDS);
    return new Result(
        smallFirstTokenMicros.getValueAtPercentile(50) / MICROS_PER_SECOND,
        smallFirstTokenMicros.getValueAtPercentile(95) / MICROS_PER_SECOND,
        smallFirstTokenMicros.getValueAtPercentile(99) / MICROS_PER_SECOND,
        served.values().stream().mapToDouble(Double::doubleValue).sum()
            / (END_SECONDS - WARM_UP_SECONDS),
        Map.copyOf(served));
  }

  private void arrived(ModelRequest request, double draw) {
    if (policy.quota() > 0
        && runningPerWorkspace.getOrDefault(request.workspace(), 0) >= policy.quota()) {
      return;
    }
    runningPerWorkspace.merge(request.workspace(), 1, Integer::sum);
    if (!policy.routed()) {
      targets.get(nextTarget++ % TARGETS).submit(request);
      return;
    }
    int entry = (int) (draw * ENTRIES);
    Router router = routers.get(entry);
    RouteQuery query =
        new RouteQuery("model", "zone-" + entry % 3, 0, request.estimatedTokens(), Set.of());
    String chosen = router.choose(query, events.now(), random).orElseThrow();
    router.sent(chosen, request.estimatedTokens(), events.now());
    targets.stream()
        .filter(target -> target.id().equals(chosen))
        .findFirst()
        .orElseThrow()
        .submit(request);
  }

  private void ended(ModelRequest request) {
    runningPerWorkspace.merge(request.workspace(), -1, Integer::sum);
    if (events.seconds() < WARM_UP_SECONDS) {
      return;
    }
    served.merge(request.workspace(), request.actualTokens(), Double::sum);
    if (request.workspace().startsWith("small")) {
      smallFirstTokenMicros.recordValue((long) (request.firstTokenSeconds() * MICROS_PER_SECOND));
    }
  }

  private void report() {
    targets.forEach(
        target -> routers.forEach(router -> router.report(target.status(), events.now())));
  }

  /**
   * How requests are queued, routed and limited.
   *
   * @param name name in the table
   * @param discipline discipline of the targets' queues
   * @param routed whether the router chooses targets; otherwise round robin does
   * @param quota maximum concurrent requests of one workspace; 0 for no limit
   */
  record Policy(String name, TargetModel.Discipline discipline, boolean routed, int quota) {}

  /**
   * The results of a run, without its warm-up.
   *
   * @param p50 median time to first token of the small workspaces, in seconds
   * @param p95 95th percentile of that time, in seconds
   * @param p99 99th percentile of that time, in seconds
   * @param throughput tokens a second over all workspaces
   * @param served tokens served to each workspace
   */
  record Result(
      double p50, double p95, double p99, double throughput, Map<String, Double> served) {}
}
