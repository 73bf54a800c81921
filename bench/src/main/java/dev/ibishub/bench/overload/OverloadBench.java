package dev.ibishub.bench.overload;

import dev.ibishub.bench.Bench;
import dev.ibishub.bench.BenchAim;
import dev.ibishub.bench.BenchReport;
import dev.ibishub.bench.BenchTable;
import dev.ibishub.bench.Chart;
import dev.ibishub.bench.overload.OverloadRun.Policy;
import dev.ibishub.bench.overload.OverloadRun.Result;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Measures overload policies at 0.5 to 3 times the capacity, with deadlines and callers that retry.
 */
public final class OverloadBench implements Bench {
  private static final List<Double> LOADS = List.of(0.5, 0.8, 1.0, 1.5, 2.0, 3.0);
  private static final double SPIKE_FROM_SECOND = 15;
  private static final double SPIKE_UNTIL_SECOND = 22;

  @Override
  public String name() {
    return "overload";
  }

  @Override
  public BenchReport run(long seed) {
    List<Run> runs =
        Stream.of(Policy.values())
            .flatMap(policy -> LOADS.stream().map(load -> new Run(policy, load, null)))
            .toList()
            .parallelStream()
            .map(run -> run.measured(seed))
            .toList();
    return new BenchReport(
        List.of(
            new BenchTable(
                "Goodput in whole answers in time a second, by load over capacity",
                List.of(
                    "policy",
                    "load",
                    "goodput",
                    "wasted",
                    "amplification",
                    "refusal p99 ms",
                    "refusals"),
                runs.stream().map(OverloadBench::row).toList()),
            new BenchTable(
                "Seconds after a spike of 3 times capacity until goodput is back at 0.9 of the"
                    + " load of 0.7",
                List.of("policy", "recovery s"),
                Stream.of(Policy.values())
                    .map(policy -> List.<Object>of(policy.label(), recovery(policy, seed)))
                    .toList())),
        List.of(chart(runs)),
        aims(runs));
  }

  private static List<Object> row(Run run) {
    Result result = run.result();
    return List.of(
        run.policy().label(),
        run.load(),
        result.goodput(),
        result.wasted(),
        result.amplification(),
        result.refusalMillis(),
        result.refusals());
  }

  private static double recovery(Policy policy, long seed) {
    Result result =
        OverloadRun.run(
            policy,
            second -> second >= SPIKE_FROM_SECOND && second < SPIKE_UNTIL_SECOND ? 3 : 0.7,
            seed);
    double before =
        result
            .inTimeBySecond()
            .subList((int) OverloadRun.WARM_UP_SECONDS + 3, (int) SPIKE_FROM_SECOND)
            .stream()
            .mapToDouble(Double::doubleValue)
            .average()
            .orElseThrow();
    return IntStream.range((int) SPIKE_UNTIL_SECOND, (int) OverloadRun.END_SECONDS - 1)
        .filter(second -> result.inTimeBySecond().get(second) >= 0.9 * before)
        .mapToDouble(second -> second - SPIKE_UNTIL_SECOND)
        .findFirst()
        .orElse(Double.POSITIVE_INFINITY);
  }

  private static Chart chart(List<Run> runs) {
    return new Chart(
        "Goodput by load",
        "load over capacity",
        "answers a second",
        Stream.of(Policy.values())
            .map(
                policy ->
                    new Chart.Line(
                        policy.label(),
                        runs.stream()
                            .filter(run -> run.policy() == policy)
                            .map(run -> new Chart.Point(run.load(), run.result().goodput()))
                            .toList()))
            .toList());
  }

  private static List<BenchAim> aims(List<Run> runs) {
    Result atOne = ours(runs, 1);
    Result atThree = ours(runs, 3);
    return List.of(
        aim(
            "goodput at 3 times capacity at least 0.95 of that at 1",
            atThree.goodput() / atOne.goodput(),
            atThree.goodput() >= 0.95 * atOne.goodput()),
        aim("refusals in under 50 ms", atThree.refusalMillis(), atThree.refusalMillis() < 50),
        aim("amplification at most 1.1", atThree.amplification(), atThree.amplification() <= 1.1));
  }

  private static Result ours(List<Run> runs, double load) {
    return runs.stream()
        .filter(run -> run.policy() == Policy.IBISHUB && run.load() == load)
        .findFirst()
        .orElseThrow()
        .result();
  }

  private static BenchAim aim(String text, double measured, boolean met) {
    return new BenchAim(text, String.format(Locale.ROOT, "%.2f", measured), met);
  }

  private record Run(Policy policy, double load, Result result) {
    Run measured(long seed) {
      return new Run(policy, load, OverloadRun.run(policy, second -> load, seed));
    }
  }
}
