package dev.ibishub.node;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.platform.standins.Deployment;
import dev.ibishub.platform.standins.EngineRelay;
import dev.ibishub.platform.standins.RankGroup;
import dev.ibishub.runtime.MonotonicClock;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Plays shifts of the demand for experts while agents stand still, the entries run slowly, orders
 * stay unanswered, engines answer calls twice and entries are killed. More: {@code
 * -Dibishub.seed=100 -Dibishub.seeds=50}.
 */
@Timeout(value = 300, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
final class RankTroubleSoakTest {
  private static final List<String> ENTRIES = List.of("entry-1", "entry-2");
  private static final RankGroup.Options GROUP = new RankGroup.Options(6, 2, 12, 4, 2, 3);
  private static final int STAGES = 10;
  private static final int SLICES = 20;
  private static final int MAXIMUM_FROZEN = 3;
  private static final int MAXIMUM_UNANSWERED = 4;

  private static final int ENDED_BY_HANG_UP = 129;

  /** How long the demand stays the same, milliseconds; long enough for a switch. */
  private static final long DEMAND_MILLIS = 4_000;

  /** Time for which agents stand still and an entry is slowed, milliseconds. */
  private static final long FREEZE_MILLIS = 300;

  /** Part of each slice in which a slowed entry runs. */
  private static final double RUNNING_SHARE = 0.2;

  /** Share of the calls that engines answer twice, in the stages in which they do. */
  private static final double SECOND_RESPONSE_SHARE = 0.2;

  private static final long SECOND_RESPONSES_MILLIS = 16_000;
  private static final long MAXIMUM_SECOND_RESPONSES_MILLIS = 60_000;

  /** Orders that get no response each time that the demand has shifted. */
  private static final int DELAYED_ORDERS = 5;

  private final List<EngineRelay> relays = new ArrayList<>();

  static LongStream seeds() {
    long first = Long.getLong("ibishub.seed", 1);
    return LongStream.range(first, first + Long.getLong("ibishub.seeds", 2));
  }

  @AfterEach
  void closeRelays() throws IOException {
    for (EngineRelay relay : relays) {
      relay.close();
    }
  }

  // Guards against an entry whose event loop stops for good, as an order times out while it ticks,
  // against one thread that changes what belongs to another, and against an order that counts as
  // done by the response to another call.
  @ParameterizedTest
  @MethodSource("seeds")
  void entriesServeAndSwitchMapsAfterTrouble(long seed) throws Exception {
    Random random = new Random(seed);
    try (Deployment deployment =
        new Deployment(Deployment.Programs.onThisClassPath(NodeMain.class.getName()))) {
      RankGroup group = start(deployment, seed);
      for (int stage = 0; stage < STAGES; stage++) {
        shiftDemand(random, group);
        disturb(random, deployment);
        assertUndisturbedLogs(seed, deployment);
      }

      relays.forEach(relay -> relay.setSecondResponseShare(0));
      for (String entry : ENTRIES) {
        deployment.await(entry + " is ready", () -> isReady(deployment, entry));
      }
      awaitSwitch(random, deployment, group);
      deployment.await("no step held", () -> !group.isHeld());
      assertThat(group.breaches()).as("seed %d", seed).isEmpty();
      assertUndisturbedLogs(seed, deployment);
    }
  }

  // Guards against a pass that begins with two maps, as an engine's second response to one call is
  // taken for that to an order, which is carried out later.
  @ParameterizedTest
  @MethodSource("seeds")
  void passBeginsWithOneMapWhileEnginesAnswerTwice(long seed) throws Exception {
    Random random = new Random(seed);
    try (Deployment deployment =
        new Deployment(Deployment.Programs.onThisClassPath(NodeMain.class.getName()))) {
      RankGroup group = start(deployment, seed);
      relays.forEach(relay -> relay.setSecondResponseShare(SECOND_RESPONSE_SHARE));
      long start = MonotonicClock.millis();
      while (group.breaches().isEmpty() && !isPlayed(group, MonotonicClock.millis() - start)) {
        shiftDemand(random, group);
        for (int order = 0; order < DELAYED_ORDERS; order++) {
          deployment.delayOrdersWithoutReply(random.nextInt(GROUP.ranks()), 1);
          TimeUnit.MILLISECONDS.sleep(DEMAND_MILLIS / 2 / DELAYED_ORDERS);
        }
      }

      assertThat(group.breaches()).as("seed %d", seed).isEmpty();
      assertThat(group.switches()).as("switches of ranks, seed %d", seed).isPositive();
      assertUndisturbedLogs(seed, deployment);
    }
  }

  /** Whether engines have answered twice for long enough, and all ranks have switched meanwhile. */
  private static boolean isPlayed(RankGroup group, long elapsedMillis) {
    return elapsedMillis >= MAXIMUM_SECOND_RESPONSES_MILLIS
        || (elapsedMillis >= SECOND_RESPONSES_MILLIS && group.switches() >= GROUP.ranks());
  }

  /** Shifts the demand until it is worth a new map, and waits until all ranks have one. */
  private static void awaitSwitch(Random random, Deployment deployment, RankGroup group)
      throws InterruptedException {
    int switches = group.switches();
    AtomicLong nextShiftAt = new AtomicLong(MonotonicClock.millis());
    deployment.await(
        "all ranks switch again",
        () -> {
          if (MonotonicClock.millis() >= nextShiftAt.get()) {
            nextShiftAt.addAndGet(DEMAND_MILLIS);
            shiftDemand(random, group);
          }
          return group.switches() >= switches + GROUP.ranks();
        });
  }

  private RankGroup start(Deployment deployment, long seed) throws Exception {
    RankGroup group = deployment.startGroup("groups", GROUP);
    deployment.publish(3, "groups", "key-1");
    startEntry(deployment, "entry-1");
    startEntry(deployment, "entry-2");
    for (int rank = 0; rank < GROUP.ranks(); rank++) {
      boolean repeatsIds = rank % 2 == 0;
      EngineRelay relay =
          EngineRelay.start(deployment.rank(rank).address(), repeatsIds, seed + rank);
      relays.add(relay);
      deployment.startAgent(agent(rank), relay.address());
    }
    for (String entry : ENTRIES) {
      deployment.await(entry + " is ready", () -> isReady(deployment, entry));
    }
    deployment.endFirstStart();
    return group;
  }

  private static void startEntry(Deployment deployment, String entry) throws IOException {
    deployment.startEntry(entry, "127.0.1." + (ENTRIES.indexOf(entry) + 1), "127.0.1.1");
  }

  private static String agent(int rank) {
    return "agent-" + rank;
  }

  private static void shiftDemand(Random random, RankGroup group) {
    group.setPopularity(
        IntStream.range(0, GROUP.sets())
            .mapToObj(
                set ->
                    IntStream.range(0, GROUP.experts())
                        .mapToDouble(expert -> random.nextInt(4) == 0 ? 9 : 1)
                        .toArray())
            .toArray(double[][]::new));
  }

  private void disturb(Random random, Deployment deployment) throws Exception {
    relays.forEach(
        relay -> relay.setSecondResponseShare(random.nextBoolean() ? SECOND_RESPONSE_SHARE : 0));
    IntStream.range(0, random.nextInt(MAXIMUM_UNANSWERED))
        .forEach(each -> deployment.delayOrdersWithoutReply(random.nextInt(GROUP.ranks()), 1));
    String entry = ENTRIES.get(random.nextInt(ENTRIES.size()));
    switch (random.nextInt(8)) {
      case 0 -> kill(deployment, entry);
      case 1 -> deployment.sendHangUpSignal(entry);
      default -> slowWhileAgentsStandStill(random, deployment, entry);
    }
  }

  private static void kill(Deployment deployment, String entry) throws Exception {
    deployment.process(entry).destroyForcibly().waitFor();
    startEntry(deployment, entry);
  }

  /**
   * Whether an entry is ready. It is started again, as the platform does, if SIGHUP ended it: a JVM
   * that is just starting has no handler yet.
   */
  private static boolean isReady(Deployment deployment, String entry) throws Exception {
    Process process = deployment.process(entry);
    if (!process.isAlive() && process.exitValue() == ENDED_BY_HANG_UP) {
      startEntry(deployment, entry);
    }
    return deployment.readiness(entry) == 200;
  }

  /** Lets an entry run for a part of each slice of time while some agents stand still. */
  private static void slowWhileAgentsStandStill(Random random, Deployment deployment, String entry)
      throws Exception {
    List<String> frozen =
        random
            .ints(0, GROUP.ranks())
            .distinct()
            .limit(1 + random.nextInt(MAXIMUM_FROZEN))
            .mapToObj(RankTroubleSoakTest::agent)
            .toList();
    for (String agent : frozen) {
      deployment.pause(agent);
    }
    long sliceMillis = FREEZE_MILLIS / SLICES;
    for (int slice = 0; slice < SLICES; slice++) {
      deployment.pause(entry);
      TimeUnit.MILLISECONDS.sleep((long) (sliceMillis * (1 - RUNNING_SHARE)));
      deployment.resume(entry);
      TimeUnit.MILLISECONDS.sleep((long) (sliceMillis * RUNNING_SHARE));
    }
    for (String agent : frozen) {
      deployment.resume(agent);
    }
  }

  private static void assertUndisturbedLogs(long seed, Deployment deployment) throws IOException {
    List<String> processes =
        Stream.concat(
                ENTRIES.stream(),
                IntStream.range(0, GROUP.ranks()).mapToObj(RankTroubleSoakTest::agent))
            .toList();
    for (String process : processes) {
      assertThat(deployment.logOf(process))
          .as("seed %d: %s", seed, process)
          .doesNotContain("\"deadlock\":\"true\"", "thread.rejected", "step.failed");
    }
  }
}
