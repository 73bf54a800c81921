package dev.ibishub.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.random.RandomGenerator;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/**
 * Random histories of one group under real leaders and rank gates: several leaders that are paused
 * and resumed; commands and replies that are late, lost, duplicated or reordered; agents that lose
 * their state.
 */
class GroupHistoryTest {
  private static final int STEPS = 1_500;
  private static final int RANKS = 3;
  private static final int LEADERS = 4;

  @Property(seed = "20260103", tries = 300)
  void neverRunsStepWithTwoMapsAndGroupProceeds(@ForAll @LongRange(min = 0) long seed) {
    World world = new World(new Random(seed));

    for (int step = 0; step < STEPS; step++) {
      world.step(); // Throws when two ranks run one step with different maps.
    }

    assertThat(world.proceedsUnderNewLeader()).as("seed %d", seed).isTrue();
  }

  @Test
  void historiesIncludeSwitchesByLaterLeaders() {
    // If no map were ever switched, the property above would be vacuous.
    int switches = 0;
    for (int seed = 0; seed < 100; seed++) {
      World world = new World(new Random(seed));
      for (int step = 0; step < STEPS; step++) {
        world.step();
      }
      switches += world.leaders.stream().skip(1).mapToInt(GroupLeader::switches).sum();
    }

    assertThat(switches).isPositive();
  }

  private static final class World {
    private final RandomGenerator random;
    private final FakeGroup group = new FakeGroup(RANKS);
    private final List<GroupLeader> leaders = new ArrayList<>();
    private final List<Runnable> network = new ArrayList<>();

    World(RandomGenerator random) {
      this.random = random;
      leaders.add(group.leader(1));
    }

    void step() {
      switch (random.nextInt(20)) {
        case 0 -> addLeaderOccasionally();
        case 1 -> anyLeader().offer(new byte[] {(byte) random.nextInt(100)});
        case 2, 3, 4 -> poll(usuallyNewestLeader());
        case 5 -> deliver(false);
        case 6 -> dropMessageOccasionally();
        case 7, 8 -> group.now = group.now.plusMillis(random.nextInt(100));
        case 9, 10 -> group.runSteps(1);
        case 11 -> restartAgentOccasionally();
        default -> deliver(true);
      }
    }

    /**
     * Whether a new leader becomes ready and the group runs further steps. Ranks step in between
     * because a pending commit may have to take effect first.
     */
    boolean proceedsUnderNewLeader() {
      GroupLeader last = group.leader(LEADERS + 1L);
      boolean ready = false;
      for (int round = 0; round < 20 && !ready; round++) {
        ready = group.runUntil(last, GroupLeader.Phase.READY);
        group.runSteps(20);
      }
      long before = group.lowestStep();
      group.runSteps(100);
      return ready && group.lowestStep() > before;
    }

    private void addLeaderOccasionally() {
      if (leaders.size() < LEADERS && random.nextInt(10) == 0) {
        leaders.add(group.leader(leaders.size() + 1L));
      }
    }

    private void restartAgentOccasionally() {
      if (random.nextInt(20) == 0) {
        group.ranks.get(random.nextInt(RANKS)).restartAgent();
      }
    }

    private GroupLeader anyLeader() {
      return leaders.get(random.nextInt(leaders.size()));
    }

    private GroupLeader usuallyNewestLeader() {
      return random.nextInt(5) == 0 ? anyLeader() : leaders.get(leaders.size() - 1);
    }

    private void poll(GroupLeader leader) {
      for (GroupLeader.AddressedCommand addressed : leader.poll(group.now)) {
        network.add(() -> deliverCommand(leader, addressed));
      }
    }

    private void deliverCommand(GroupLeader leader, GroupLeader.AddressedCommand addressed) {
      GroupReply reply = group.ranks.get(addressed.rank()).handle(addressed.command());
      network.add(() -> leader.onReply(reply, group.now));
    }

    private void deliver(boolean removeAfterDelivery) {
      if (!network.isEmpty()) {
        int index = random.nextInt(network.size());
        Runnable message = removeAfterDelivery ? network.remove(index) : network.get(index);
        message.run();
      }
    }

    private void dropMessageOccasionally() {
      if (!network.isEmpty() && random.nextInt(4) == 0) {
        network.remove(random.nextInt(network.size()));
      }
    }
  }
}
