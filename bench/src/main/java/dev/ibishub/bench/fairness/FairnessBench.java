package dev.ibishub.bench.fairness;

import dev.ibishub.bench.Bench;
import dev.ibishub.bench.BenchAim;
import dev.ibishub.bench.BenchReport;
import dev.ibishub.bench.BenchTable;
import dev.ibishub.bench.Chart;
import dev.ibishub.bench.fairness.FloodRun.Policy;
import dev.ibishub.bench.fairness.FloodRun.Result;
import dev.ibishub.bench.model.EngineParameters;
import dev.ibishub.bench.model.ModelRequest;
import dev.ibishub.bench.model.TargetModel.Discipline;
import dev.ibishub.bench.model.Workload;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Measures the latency of small workspaces while one workspace floods at ten times its share,
 * compared with FIFO queues and round robin, and with a fixed quota of requests per workspace.
 */
public final class FairnessBench implements Bench {
  private static final int PROMPT_TOKENS = 300;
  private static final int OUTPUT_TOKENS = 100;
  private static final int SMALL_WORKSPACES = 7;
  private static final double FLOOD_FACTOR = 10;
  private static final int MAX_REQUESTS_PER_WORKSPACE = 6 * 16;
  private static final List<Policy> POLICIES =
      List.of(
          new Policy("FIFO, round robin", Discipline.FIRST_IN_FIRST_OUT, false, 0),
          new Policy(
              "static quota, round robin",
              Discipline.FIRST_IN_FIRST_OUT,
              false,
              MAX_REQUESTS_PER_WORKSPACE),
          new Policy("fair queue, round robin", Discipline.FAIR, false, 0),
          new Policy("ibishub", Discipline.FAIR, true, 0));

  @Override
  public String name() {
    return "fairness";
  }

  @Override
  public BenchReport run(long seed) {
    List<Workload> mix = mix();
    Result alone = FloodRun.run(POLICIES.get(3), mix.subList(0, SMALL_WORKSPACES), seed);
    List<Result> results =
        POLICIES.stream().map(policy -> FloodRun.run(policy, mix, seed)).toList();
    double fifo = results.get(0).throughput();
    Result ours = results.get(POLICIES.size() - 1);
    Stream<List<Object>> rows =
        IntStream.range(0, POLICIES.size())
            .mapToObj(at -> row(POLICIES.get(at).name(), results.get(at), alone, fifo));
    return new BenchReport(
        List.of(
            new BenchTable(
                "Small workspaces' time to first token in ms, one workspace at 10 times its share",
                List.of(
                    "policy", "p50", "p95", "p99", "p99 / alone", "Jain", "tokens/s", "of FIFO"),
                Stream.concat(Stream.of(row("small ones alone", alone, alone, fifo)), rows)
                    .toList())),
        List.of(
            new Chart(
                "Time to first token of small workspaces under a flood",
                "percentile",
                "ms",
                IntStream.range(2, POLICIES.size())
                    .mapToObj(at -> line(POLICIES.get(at).name(), results.get(at)))
                    .toList())),
        List.of(
            aim(
                "small p99 at most 1.2 times that of running alone",
                ours.p99() / alone.p99(),
                ours.p99() <= 1.2 * alone.p99()),
            aim(
                "throughput at least 0.97 of FIFO",
                ours.throughput() / fifo,
                ours.throughput() >= 0.97 * fifo)));
  }

  private static List<Workload> mix() {
    double capacity =
        FloodRun.TARGETS * EngineParameters.defaults().capacity(PROMPT_TOKENS, OUTPUT_TOKENS);
    double cost = OUTPUT_TOKENS + ModelRequest.PROMPT_TOKEN_COST * PROMPT_TOKENS;
    double rate = capacity / cost;
    double share = 2.0 / (SMALL_WORKSPACES + 2 * 4 + 2);
    Stream<Workload> small =
        IntStream.range(0, SMALL_WORKSPACES)
            .mapToObj(number -> workload("small" + number, 1, 0.02 * rate));
    Stream<Workload> large =
        IntStream.range(0, 2).mapToObj(number -> workload("large" + number, 4, 0.22 * rate));
    return Stream.of(small, large, Stream.of(workload("flood", 2, FLOOD_FACTOR * share * rate)))
        .flatMap(part -> part)
        .toList();
  }

  private static Workload workload(String workspace, double weight, double rate) {
    return new Workload(workspace, weight, rate, PROMPT_TOKENS, OUTPUT_TOKENS, 0, 1e6);
  }

  private static List<Object> row(String name, Result result, Result alone, double fifo) {
    return List.of(
        name,
        1000 * result.p50(),
        1000 * result.p95(),
        1000 * result.p99(),
        result.p99() / alone.p99(),
        jain(result),
        result.throughput(),
        result.throughput() / fifo);
  }

  private static double jain(Result result) {
    double cost = OUTPUT_TOKENS + ModelRequest.PROMPT_TOKEN_COST * PROMPT_TOKENS;
    List<WeightedShares.Demand> demands =
        mix().stream()
            .filter(workload -> result.served().containsKey(workload.workspace()))
            .map(
                workload ->
                    new WeightedShares.Demand(
                        workload.workspace(),
                        workload.weight(),
                        workload.requestsPerSecond() * cost))
            .toList();
    Map<String, Double> entitled = WeightedShares.of(demands, result.throughput());
    return WeightedShares.jainIndex(entitled, result.served());
  }

  private static Chart.Line line(String name, Result result) {
    return new Chart.Line(
        name,
        List.of(
            new Chart.Point(50, 1000 * result.p50()),
            new Chart.Point(95, 1000 * result.p95()),
            new Chart.Point(99, 1000 * result.p99())));
  }

  private static BenchAim aim(String text, double measured, boolean met) {
    return new BenchAim(text, String.format(Locale.ROOT, "%.2f", measured), met);
  }
}
