package dev.ibishub.bench.limits;

import dev.ibishub.bench.Bench;
import dev.ibishub.bench.BenchReport;
import dev.ibishub.bench.BenchTable;
import dev.ibishub.core.serving.LimitDivision;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;

/**
 * Compares ways to keep rate limits that targets announce for all entries together, by the maximum
 * rate that reaches a target and the share of the limits that is used.
 */
public final class LimitsBench implements Bench {
  static final List<LimitRun.Scenario> SCENARIOS =
      List.of(
          new LimitRun.Scenario(7, 16, 1, 1, 53),
          new LimitRun.Scenario(7, 16, 6, 0.5, 53),
          new LimitRun.Scenario(7, 16, 16, 1, 53),
          new LimitRun.Scenario(7, 3, 3, 1, 7),
          new LimitRun.Scenario(31, 72, 20, 4, 210),
          new LimitRun.Scenario(48, 192, 60, 1, 330),
          new LimitRun.Scenario(48, 5, 5, 2, 40));

  private static final int SEEDS = 5;

  /** Gives the whole limit to each entry. */
  static final LimitDivision UNDIVIDED = (own, hosts, incarnation, limit) -> limit;

  /** Divides the limit between all entries. */
  static final LimitDivision EVEN_DIVISION =
      (own, hosts, incarnation, limit) -> limit / hosts.size();

  private record Strategy(LimitDivision division, boolean isEnforced) {}

  @Override
  public String name() {
    return "limits";
  }

  @Override
  public BenchReport run(long seed) {
    Map<String, Strategy> strategies = new LinkedHashMap<>();
    strategies.put("not heeded", new Strategy(UNDIVIDED, false));
    strategies.put("each entry alone", new Strategy(UNDIVIDED, true));
    strategies.put("evenly between all", new Strategy(EVEN_DIVISION, true));
    strategies.put("few holders (standing)", new Strategy(LimitDivision.amongFewHolders(), true));
    List<BenchTable> tables =
        SCENARIOS.stream().map(scenario -> table(scenario, strategies, seed)).toList();
    return new BenchReport(tables, List.of(), List.of());
  }

  private static BenchTable table(
      LimitRun.Scenario scenario, Map<String, Strategy> strategies, long seed) {
    List<List<Object>> rows = new ArrayList<>();
    strategies.forEach((name, strategy) -> rows.add(row(name, strategy, scenario, seed)));
    return new BenchTable(
        "%d entries, %d of %d targets name %s a second, %.0f requests a second; %d runs of 60 s"
            .formatted(
                scenario.entries(),
                scenario.limited(),
                scenario.targets(),
                scenario.limit(),
                scenario.requestsPerSecond(),
                SEEDS),
        List.of("way", "most in 4 s", "allowed", "limit used", "requests refused"),
        rows);
  }

  private static List<Object> row(
      String name, Strategy strategy, LimitRun.Scenario scenario, long seed) {
    List<LimitRun.Outcome> outcomes =
        LongStream.range(seed, seed + SEEDS)
            .mapToObj(
                each ->
                    new LimitRun(scenario, strategy.division(), strategy.isEnforced(), each).run())
            .toList();
    return List.of(
        name,
        outcomes.stream().mapToLong(LimitRun.Outcome::maxArrivals).max().orElseThrow(),
        outcomes.get(0).allowed(),
        mean(outcomes.stream().mapToDouble(LimitRun.Outcome::used).toArray()),
        mean(outcomes.stream().mapToDouble(LimitRun.Outcome::refused).toArray()));
  }

  private static String mean(double... values) {
    return "%.2f".formatted(Arrays.stream(values).average().orElse(0));
  }
}
