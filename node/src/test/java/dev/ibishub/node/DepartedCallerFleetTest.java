package dev.ibishub.node;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.entries.EntryRoster;
import dev.ibishub.node.DepartedCallerFleet.Evidence;
import dev.ibishub.node.DepartedCallerFleet.LoopDelays;
import dev.ibishub.node.DepartedCallerFleet.Verdict;
import dev.ibishub.platform.standins.StoreStandIn;
import dev.ibishub.runtime.MonotonicClock;
import java.io.IOException;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Plays callers that leave at entries as real processes, while targets end under parts of prompts,
 * entries restart and the store returns from an older copy. Larger: {@code -Dibishub.seed=100
 * -Dibishub.seeds=50 -Dibishub.entries=41}.
 */
final class DepartedCallerFleetTest {
  private static final int TARGETS = 16;
  private static final double ALLOWED_SHARE = 0.25;
  private static final long ALLOWED_SENDS = 3;
  private static final long QUIET_AFTER_MILLIS = 5_000;

  static LongStream seeds() {
    long first = Long.getLong("ibishub.seed", 1);
    return LongStream.range(first, first + Long.getLong("ibishub.seeds", 1));
  }

  // Guards against work for callers that have left while entries exchange evidence on crashes.
  @ParameterizedTest
  @MethodSource("seeds")
  void runsOfCallersThatLeftEndWhileEntriesRestart(long seed)
      throws IOException, InterruptedException {
    Random random = new Random(seed);
    int entries = Integer.getInteger("ibishub.entries", 12);
    try (DepartedCallerFleet fleet = new DepartedCallerFleet(seed, entries, TARGETS)) {
      StoreStandIn.Copy older = fleet.copyStore();
      fleet.startLoad();
      Thread.sleep(1_000 + random.nextInt(1_000));
      Stage guilty = new Stage("parts end targets", fleet);
      fleet.playGuilty(2, random.nextBoolean(), 2_000 + random.nextInt(1_000));
      fleet.returnStore(older);
      fleet.pauseEntries(1 + random.nextInt(2), 1_000 + random.nextInt(1_000));
      fleet.playGuilty(2, random.nextBoolean(), 2_000 + random.nextInt(1_000));
      Verdict verdictOfGuilty = guilty.end();
      Stage restarts = new Stage("a quarter restarts", fleet);
      fleet.restartEntries(Math.max(1, entries / 4));
      fleet.returnStore(older);
      fleet.playGuilty(1, false, 6_000);
      Verdict verdictOfRestarts = restarts.end();
      fleet.stopSoundLoad();
      Stage settling = new Stage("only callers that leave", fleet);
      Thread.sleep(QUIET_AFTER_MILLIS);
      Verdict verdictOfSettling = settling.end();
      Stage quiet = new Stage("quiet again", fleet);
      Evidence before = fleet.evidence();
      Thread.sleep(3_000);
      Verdict verdictOfQuiet = quiet.end();
      Evidence after = fleet.evidence();
      System.out.println("seed " + seed + ": lines " + fleet.logLines());

      assertHolds(verdictOfGuilty);
      assertHolds(verdictOfRestarts);
      assertHolds(verdictOfSettling);
      assertHolds(verdictOfQuiet);
      assertThat(quiet.loopDelays().late()).as("late loops at the end").isZero();
      assertThat(after.suspicions()).as("suspicions at the end").isEqualTo(before.suspicions());
      // A part that the last crash left under suspicion may still be answered, and is told then.
      assertThat(after.received() - before.received())
          .as("messages with evidence at the end")
          .isLessThanOrEqualTo(
              (after.found() - before.found()) * entries * EntryRoster.RELAY_COUNT);
    }
  }

  // Guards against an entry that notices late that callers leave, as reports on crashes hold its
  // event loop.
  @ParameterizedTest
  @MethodSource("seeds")
  void runsOfCallersThatLeftEndWhileManyCrashesAreReported(long seed)
      throws IOException, InterruptedException {
    try (DepartedCallerFleet fleet = new DepartedCallerFleet(seed, 1, 4)) {
      fleet.startLoad();
      Thread.sleep(1_000);
      Stage stage = new Stage("many reports", fleet);
      fleet.reportCrashes(4, 100);
      Thread.sleep(6_000);
      Verdict verdict = stage.end();
      fleet.linesOnHeldLoops().forEach(System.out::println);

      assertHolds(verdict);
    }
  }

  private static void assertHolds(Verdict verdict) {
    assertThat(verdict.worstShare()).as("%s", verdict).isLessThanOrEqualTo(ALLOWED_SHARE);
    assertThat(verdict.lateSends()).as("%s", verdict).isLessThanOrEqualTo(ALLOWED_SENDS);
  }

  /** A part of the play that is judged by itself, and printed. */
  private static final class Stage {
    private final String name;
    private final DepartedCallerFleet fleet;
    private final long startedAt = MonotonicClock.millis();
    private final LoopDelays before;
    private LoopDelays during;

    Stage(String name, DepartedCallerFleet fleet) throws IOException {
      this.name = name;
      this.fleet = fleet;
      this.before = fleet.loopDelays();
    }

    Verdict end() throws IOException, InterruptedException {
      LoopDelays after = fleet.loopDelays();
      during = new LoopDelays(after.late() - before.late(), after.longest());
      Verdict verdict = fleet.verdict(startedAt);
      System.out.printf(
          "%s: %s; loops late %d times, longest so far %d ms%n",
          name, verdict, during.late(), during.longest());
      System.out.println("  " + fleet.crashMetrics());
      return verdict;
    }

    LoopDelays loopDelays() {
      return during;
    }
  }
}
