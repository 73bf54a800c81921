package dev.ibishub.core;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.GroupLeader.Phase;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Random histories of a group under up to two concurrent leaders. The seed is fixed; jqwik prints
 * it together with the scenario of a failure.
 */
class GroupSwitchRandomizedTest {
  private static final int ACTIONS = 400;
  private static final int RANKS = 3;

  // Guards against a step that runs with two maps, which returns garbage, and a group that stops
  // forever. Leaders are killed, replaced and paused, agents restart, one rank's engine or whole VM
  // restarts, and messages are late, duplicated, reordered or lost while the ranks step on.
  @Property(seed = "20261202", tries = 1500, shrinking = ShrinkingMode.OFF)
  void neverMixesMapsOrStopsGroup(@ForAll long scenario) {
    History history = new History(scenario);
    for (int i = 0; i < ACTIONS; i++) {
      history.performRandomAction();
    }
    history.runWithoutFaults();

    FakeGroup group = history.group;
    assertThat(group.ranks).extracting(rank -> rank.version).containsOnly(history.last.version());
    assertThat(group.lowestStep()).isGreaterThanOrEqualTo(history.stepBeforeRecovery + 20);
  }

  /** Message to or from a rank, on the connection to one incarnation of the rank's agent. */
  private record Message(
      GroupLeader leader, int rank, int agentIncarnation, GroupCommand command, GroupReply reply) {
    Message answeredBy(GroupReply answer) {
      return new Message(leader, rank, agentIncarnation, null, answer);
    }
  }

  private static final class History {
    private final Random random;
    private final FakeGroup group = new FakeGroup(RANKS);
    private final List<GroupLeader> leaders = new ArrayList<>();
    private final List<Message> network = new ArrayList<>();
    private final int[] agentIncarnations = new int[RANKS];
    private long epoch;
    private GroupLeader last;
    private long stepBeforeRecovery;

    History(long scenario) {
      this.random = new Random(scenario);
      newLeader();
    }

    void performRandomAction() {
      group.now = group.now.plus(Duration.ofMillis(random.nextInt(40)));
      int choice = random.nextInt(100);
      if (choice < 50) {
        deliverAny();
      } else if (choice < 70) {
        poll(leaders.get(random.nextInt(leaders.size())));
      } else if (choice < 90) {
        group.ranks.get(random.nextInt(RANKS)).tryStep();
      } else if (choice < 94) {
        leaders.get(random.nextInt(leaders.size())).offer(new byte[] {(byte) random.nextInt(100)});
      } else if (choice < 96) {
        newLeader();
      } else if (choice < 98) {
        restartAgent(random.nextInt(RANKS));
      } else if (choice == 98) {
        group.ranks.get(0).restartEngine();
      } else {
        group.ranks.get(0).restartEngine();
        restartAgent(0);
      }
    }

    /** Runs without faults: one last leader, and every message arrives. */
    void runWithoutFaults() {
      newLeader();
      stepBeforeRecovery = group.lowestStep();
      for (int round = 0; round < 200; round++) {
        last.poll(group.now).forEach(addressed -> group.deliver(last, addressed));
        group.now = group.now.plus(Duration.ofMillis(50));
        group.runSteps(1);
      }
      assertThat(last.phase())
          .as("%s", group.ranks.stream().map(FakeGroup.Rank::status).toList())
          .isEqualTo(Phase.READY);
    }

    private void newLeader() {
      epoch++;
      last = group.leader(epoch);
      leaders.add(last);
      if (leaders.size() > 2) {
        leaders.remove(0);
      }
    }

    private void restartAgent(int rank) {
      agentIncarnations[rank]++;
      group.ranks.get(rank).restartAgent();
      network.removeIf(message -> message.rank() == rank && message.command() != null);
    }

    private void poll(GroupLeader leader) {
      leader
          .poll(group.now)
          .forEach(
              addressed ->
                  network.add(
                      new Message(
                          leader,
                          addressed.rank(),
                          agentIncarnations[addressed.rank()],
                          addressed.command(),
                          null)));
    }

    private void deliverAny() {
      if (network.isEmpty()) {
        return;
      }
      int index = random.nextInt(network.size());
      Message message = network.get(index);
      if (random.nextInt(100) >= 15) {
        network.remove(index);
      }
      if (random.nextInt(100) < 10) {
        return;
      }
      if (message.reply() != null) {
        message.leader().onReply(message.reply(), group.now);
      } else {
        GroupReply reply = group.ranks.get(message.rank()).handle(message.command());
        network.add(message.answeredBy(reply));
      }
    }
  }
}
