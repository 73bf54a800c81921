package dev.ibishub.core.ranks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Simulates random histories of a group: commands without an answer that are carried out up to 12 s
 * later, leaders that stop, or pause and resume beside their successor, and ranks that crash. The
 * seed of a history is the number in the test's name.
 */
final class MapSwitchHistoryTest {
  private static final int RANKS = 5;
  private static final long HISTORY_MILLIS = 30_000;
  private static final long TICK_MILLIS = 25;

  /** Leader that starts a switch to a new map whenever it can. */
  private static final class Leader implements FencingTokenSource {
    private final SimulatedGroup group;
    private final MapSwitch mapSwitch = new MapSwitch(RANKS, this);
    private final long salt;
    private final long clockErrorMillis;
    private long lastToken;
    private long tokenOffset;
    private boolean isPaused;

    Leader(SimulatedGroup group, long salt, long clockErrorMillis) {
      this.group = group;
      this.salt = salt;
      this.clockErrorMillis = clockErrorMillis;
    }

    @Override
    public long next() {
      lastToken =
          Math.max(
              lastToken + 64,
              (group.now() + clockErrorMillis + tokenOffset + 5_000) * 64
                  + salt * TOKENS_PER_SWITCH);
      return lastToken;
    }

    @Override
    public void onHigherTokenSeen() {
      tokenOffset += 2_000;
    }

    void tick(boolean mayStartSwitch) {
      if (isPaused) {
        return;
      }
      if (mayStartSwitch && mapSwitch.isReady(group.now())) {
        mapSwitch.start(
            (Math.max(mapSwitch.highestVersion(), mapSwitch.version()) / 8 + 1) * 8 + salt,
            group.now());
      }
      mapSwitch.tick(group.now()).forEach(this::send);
    }

    private void send(RankCommand command) {
      group.send(
          command,
          (answeredCommand, result) -> {
            mapSwitch.onResult(answeredCommand, result, group.now());
            if (!isPaused) {
              mapSwitch.tick(group.now()).forEach(this::send);
            }
          });
    }

    void receiveView(int rank, Random random) {
      RankView view = group.view(rank);
      group.schedule(1 + random.nextInt(60), () -> mapSwitch.onView(rank, view));
    }
  }

  private static SimulatedGroup simulate(
      long seed, double unansweredProbability, boolean withCrashes) {
    Random random = new Random(seed);
    SimulatedGroup group = new SimulatedGroup(RANKS, unansweredProbability, random);
    List<Leader> leaders = new ArrayList<>(List.of(new Leader(group, 1, 0)));
    while (group.now() < HISTORY_MILLIS) {
      group.advance();
      boolean isFaultFree = group.now() > HISTORY_MILLIS - 14_000;
      if (!isFaultFree && random.nextInt(2_500) == 0) {
        injectFault(group, leaders, random, withCrashes);
      }
      if (isFaultFree && leaders.size() > 1) {
        leaders.subList(0, leaders.size() - 1).clear();
        leaders.get(0).isPaused = false;
      }
      if (group.now() % TICK_MILLIS == 0) {
        leaders.forEach(leader -> leader.tick(!isFaultFree));
      }
      if (group.now() % 40 == 0) {
        leaders.forEach(
            leader -> {
              for (int rank = 0; rank < RANKS; rank++) {
                leader.receiveView(rank, random);
              }
            });
      }
    }
    return group;
  }

  private static void injectFault(
      SimulatedGroup group, List<Leader> leaders, Random random, boolean withCrashes) {
    Leader newest = leaders.get(leaders.size() - 1);
    switch (random.nextInt(withCrashes ? 4 : 3)) {
      case 0 -> newest.isPaused = true;
      case 1 -> newest.isPaused = false;
      case 2 -> {
        if (random.nextBoolean()) {
          leaders.clear();
        }
        leaders.add(new Leader(group, 1 + random.nextInt(6), random.nextInt(200) - 100));
      }
      default -> group.crash();
    }
  }

  // Guards against a step that runs with two maps, which corrupts the generated text. It happens if
  // ranks switch before every rank has confirmed: one rank leaves its command unanswered and
  // carries it out seconds later while the others have gone on, or two leaders send commands at
  // once.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
  void neverBeginsStepWithTwoMapsWhenCommandsAreLostOrLate(long seed) {
    SimulatedGroup group = simulate(seed, 0.3, true);

    assertThat(group.violations()).as("seed %d", seed).isEmpty();
  }

  // Guards against a group that stalls forever: a leader is killed after a rank held a step for it.
  // A hold does not expire, so another leader has to find and release it.
  @ParameterizedTest
  @ValueSource(longs = {101, 102, 103, 104, 105, 106, 107, 108, 109, 110, 111, 112, 113, 114, 115})
  void leavesNoStepHeldAfterFaults(long seed) {
    SimulatedGroup group = simulate(seed, 0.3, true);

    assertThat(group.isAnyHeld()).as("seed %d", seed).isFalse();
    assertThat(group.step()).as("seed %d", seed).isGreaterThan(100);
  }

  @Test
  void switchesMapsRepeatedlyWhenNoCommandIsLost() {
    SimulatedGroup group = simulate(7, 0, false);

    assertThat(group.mapOf(0)).isGreaterThan(8 * 10);
  }
}
