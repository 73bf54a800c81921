package dev.ibishub.bench.crashes;

import dev.ibishub.bench.Bench;
import dev.ibishub.bench.BenchReport;
import dev.ibishub.bench.BenchTable;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Compares ways to find requests that crash targets, by the crashes until each is stopped and the
 * innocent requests that are refused.
 */
public final class CrashesBench implements Bench {
  private static final List<CrashRun.Scenario> SCENARIOS =
      List.of(
          new CrashRun.Scenario("one guilty, alone at its target", 12, 0.2, 1, 0),
          new CrashRun.Scenario("one guilty, 6 beside it", 12, 6, 1, 0),
          new CrashRun.Scenario("one guilty, 20 beside it", 12, 20, 1, 0),
          new CrashRun.Scenario("4 guilty, 6 beside", 72, 6, 4, 0),
          new CrashRun.Scenario("none, 17 in 100 targets crash each 10 s", 72, 6, 0, 0.17),
          new CrashRun.Scenario("4 guilty, 17 in 100 targets crash each 10 s", 72, 6, 4, 0.17));

  @Override
  public String name() {
    return "crashes";
  }

  @Override
  public BenchReport run(long seed) {
    Map<String, Supplier<BlamePolicy>> policies = new LinkedHashMap<>();
    policies.put("retry rule alone", BlamePolicy::none);
    policies.put("one crash", () -> BlamePolicy.counting(1));
    policies.put("two crashes", () -> BlamePolicy.counting(2));
    policies.put("two in a row (standing)", BlamePolicy::consecutive);
    policies.put("likelihood", BlamePolicy::likelihood);
    List<BenchTable> tables =
        SCENARIOS.stream().map(scenario -> table(scenario, policies, seed)).toList();
    return new BenchReport(tables, List.of(), List.of());
  }

  private static BenchTable table(
      CrashRun.Scenario scenario, Map<String, Supplier<BlamePolicy>> policies, long seed) {
    List<List<Object>> rows =
        policies.entrySet().stream()
            .map(
                policy ->
                    new CrashRun(scenario, policy.getValue().get(), seed).run(policy.getKey()))
            .toList();
    return new BenchTable(
        scenario.name() + ", 90 s",
        List.of(
            "way",
            "crashes by the guilty",
            "most of one",
            "innocent requests",
            "their runs broken off",
            "of them failed",
            "of them quarantined"),
        rows);
  }
}
