package dev.ibishub.bench.routing;

import dev.ibishub.bench.Bench;
import dev.ibishub.bench.BenchAim;
import dev.ibishub.bench.BenchReport;
import dev.ibishub.bench.BenchTable;
import dev.ibishub.bench.Chart;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;

/** Compares the router with baselines and an oracle in each scenario. */
public final class RoutingBench implements Bench {
  private static final double MAX_RATIO_TO_ORACLE = 1.15;
  private static final List<String> COLUMNS =
      List.of(
          "policy",
          "first p50",
          "p95",
          "p99",
          "token p50",
          "p95",
          "p99",
          "hit rate",
          "imbalance",
          "slow share",
          "failed");

  @Override
  public String name() {
    return "routing";
  }

  @Override
  public BenchReport run(long seed) {
    List<Run> runs =
        Scenario.all().stream()
            .flatMap(
                scenario -> RoutePolicies.ALL.stream().map(kind -> new Run(scenario, kind, null)))
            .toList()
            .parallelStream()
            .map(run -> run.measured(seed))
            .toList();
    return new BenchReport(
        Scenario.all().stream().map(scenario -> table(scenario, runs)).toList(),
        List.of(chart(runs)),
        Scenario.all().stream().map(scenario -> aim(scenario, runs)).toList());
  }

  private static BenchTable table(Scenario scenario, List<Run> runs) {
    String title =
        String.format(
            Locale.ROOT,
            "%s, reports %.1f s late, load %.1f; times in ms",
            scenario.name(),
            scenario.lagSeconds(),
            scenario.load());
    return new BenchTable(
        title, COLUMNS, runsOf(scenario, runs).stream().map(RoutingBench::row).toList());
  }

  private static List<Object> row(Run run) {
    RouteResult result = run.result();
    return List.of(
        run.kind().name(),
        result.firstTokenMillis(50),
        result.firstTokenMillis(95),
        result.firstTokenMillis(99),
        result.betweenTokensMillis(50),
        result.betweenTokensMillis(95),
        result.betweenTokensMillis(99),
        result.hitRate(),
        result.imbalance(),
        result.slowShare(),
        result.failedAttempts());
  }

  private static Chart chart(List<Run> runs) {
    return new Chart(
        "Time to first token by the lag of reports, p95 at load 0.8",
        "lag in s",
        "ms",
        RoutePolicies.ALL.stream()
            .map(
                kind ->
                    new Chart.Line(
                        kind.name(),
                        IntStream.range(0, 4)
                            .mapToObj(at -> Scenario.all().get(at))
                            .map(scenario -> point(scenario, kind, runs))
                            .toList()))
            .toList());
  }

  private static Chart.Point point(Scenario scenario, RoutePolicy.Kind kind, List<Run> runs) {
    return new Chart.Point(
        scenario.lagSeconds(), result(scenario, kind.name(), runs).firstTokenMillis(95));
  }

  private static BenchAim aim(Scenario scenario, List<Run> runs) {
    double ours = result(scenario, RoutePolicies.IBISHUB, runs).firstTokenMillis(95);
    double oracle = result(scenario, RoutePolicies.ORACLE, runs).firstTokenMillis(95);
    return new BenchAim(
        scenario.name() + ": p95 to first token within 15 % of the oracle",
        String.format(Locale.ROOT, "%.2f", ours / oracle),
        ours <= MAX_RATIO_TO_ORACLE * oracle);
  }

  private static RouteResult result(Scenario scenario, String policy, List<Run> runs) {
    return runsOf(scenario, runs).stream()
        .filter(run -> run.kind().name().equals(policy))
        .findFirst()
        .orElseThrow()
        .result();
  }

  private static List<Run> runsOf(Scenario scenario, List<Run> runs) {
    return runs.stream().filter(run -> run.scenario().name().equals(scenario.name())).toList();
  }

  private record Run(Scenario scenario, RoutePolicy.Kind kind, RouteResult result) {
    Run measured(long seed) {
      return new Run(scenario, kind, RouteRun.run(kind, scenario, seed));
    }
  }
}
