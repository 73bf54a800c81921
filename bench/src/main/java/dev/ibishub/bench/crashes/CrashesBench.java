package dev.ibishub.bench.crashes;

import dev.ibishub.bench.Bench;
import dev.ibishub.bench.BenchReport;
import dev.ibishub.bench.BenchTable;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.Stream;

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

  private static final long LENGTH_MILLIS = 60_000;

  private static PartScenario parts(
      String name, boolean isGroup, double guiltyPerSecond, double crashingShare) {
    return new PartScenario(
        name,
        6,
        16,
        isGroup,
        40,
        guiltyPerSecond,
        1,
        1,
        crashingShare,
        false,
        PartScenario.Trouble.NONE,
        LENGTH_MILLIS);
  }

  private static PartScenario silent(double guiltyPerSecond) {
    return new PartScenario(
        "silent targets, %.1f guilty a second".formatted(guiltyPerSecond),
        6,
        16,
        false,
        40,
        guiltyPerSecond,
        1,
        1,
        0,
        true,
        PartScenario.Trouble.NONE,
        LENGTH_MILLIS);
  }

  private static PartScenario fleet(int entries, int targets, double soundPerSecond) {
    return new PartScenario(
        "%d entries, %d targets, 4 guilty a second".formatted(entries, targets),
        entries,
        targets,
        false,
        soundPerSecond,
        4,
        1,
        1,
        0,
        false,
        PartScenario.Trouble.NONE,
        LENGTH_MILLIS / 2);
  }

  private static PartScenario guilty(int parts, int workspaces) {
    return new PartScenario(
        "%d parts and %d workspaces, 4 guilty a second".formatted(parts, workspaces),
        6,
        16,
        false,
        40,
        4,
        parts,
        workspaces,
        0,
        false,
        PartScenario.Trouble.NONE,
        LENGTH_MILLIS);
  }

  /** Scenarios in which no two guilty requests are alike, but all have a part in common. */
  private static final List<PartScenario> PART_SCENARIOS =
      List.of(
          parts("1 guilty a second", false, 1, 0),
          parts("4 guilty a second", false, 4, 0),
          parts("20 guilty a second", false, 20, 0),
          parts("4 guilty a second, 17 in 100 targets crash each 10 s", false, 4, 0.17),
          parts("none, 17 in 100 targets crash each 10 s", false, 0, 0.17),
          parts("one group of ranks, 1.5 guilty a second", true, 1.5, 0),
          parts("one group of ranks, 4 guilty a second", true, 4, 0),
          parts("one group, 4 guilty a second, 3 in 100 ranks crash each 10 s", true, 4, 0.03),
          silent(1.5),
          silent(4),
          guilty(2, 1),
          guilty(1, 5),
          fleet(3, 12, 30),
          fleet(58, 64, 180));

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
    Map<String, Supplier<PartPolicy>> partPolicies = new LinkedHashMap<>();
    partPolicies.put("whole requests", PartPolicy::wholeRequests);
    partPolicies.put("part after one crash", () -> PartPolicy.counting(1));
    partPolicies.put("part after two crashes", () -> PartPolicy.counting(2));
    partPolicies.put("three in a row, one at a time (standing)", PartPolicy::quarantine);
    List<BenchTable> tables =
        Stream.concat(
                SCENARIOS.stream().map(scenario -> table(scenario, policies, seed)),
                PART_SCENARIOS.stream().map(scenario -> partTable(scenario, partPolicies, seed)))
            .toList();
    return new BenchReport(tables, List.of(), List.of());
  }

  private static BenchTable partTable(
      PartScenario scenario, Map<String, Supplier<PartPolicy>> policies, long seed) {
    return new BenchTable(
        scenario.name(),
        List.of(
            "way",
            "crashes by the guilty",
            "guilty later than the bound",
            "sound requests",
            "quarantined",
            "told to return",
            "their runs broken off",
            "begun at first attempt",
            "the same after the bound",
            "messages"),
        policies.entrySet().stream()
            .map(policy -> row(policy.getKey(), new PartFleet(scenario, policy.getValue(), seed)))
            .toList());
  }

  private static List<Object> row(String name, PartFleet fleet) {
    PartFleet.Outcome outcome = fleet.run();
    return List.of(
        name,
        outcome.crashes(),
        outcome.arrivalsAfterBound(),
        outcome.soundOffered(),
        outcome.soundQuarantined(),
        outcome.soundSuspected(),
        outcome.soundBroken(),
        "%.3f".formatted(outcome.begunShare()),
        "%.3f".formatted(outcome.begunLateShare()),
        outcome.messages());
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
