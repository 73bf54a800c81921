package dev.ibishub.bench.membership;

import dev.ibishub.bench.Bench;
import dev.ibishub.bench.BenchReport;
import dev.ibishub.bench.BenchTable;
import java.util.List;

/**
 * Measures failure detection among entries at three sizes; deterministic, so the seed has no
 * effect.
 */
public final class MembershipBench implements Bench {
  private static final List<Integer> SIZES = List.of(7, 40, 370);

  @Override
  public String name() {
    return "membership";
  }

  @Override
  public BenchReport run(long seed) {
    return new BenchReport(
        List.of(
            new BenchTable(
                "Entries that probe and tell each other four times a second",
                List.of(
                    "entries",
                    "dead gone everywhere s",
                    "false: paused 0.75 s",
                    "back after 5 s pause, s",
                    "false: one-way cut",
                    "digest bytes/s sent"),
                SIZES.parallelStream().map(MembershipBench::row).toList())),
        List.of(),
        List.of());
  }

  private static List<Object> row(int entries) {
    MembershipRun.Result result = MembershipRun.run(entries);
    return List.of(
        entries,
        result.deathDetectionSeconds(),
        result.suspectedInShortPause(),
        result.longPauseRecoverySeconds(),
        result.suspectedOnOneWayCut(),
        result.bytesPerSecond());
  }
}
