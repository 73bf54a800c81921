package dev.ibishub.core;

import dev.ibishub.core.GroupLeader.Addressed;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Ranks in lock-step on engines that ignore fencing numbers, with the real gates before them. */
final class FakeGroup {
  static final long FIRST_MAP = 7;
  static final String NAME = "dictionary";

  final List<Rank> ranks = new ArrayList<>();
  final Map<Long, Long> mapOfStep = new HashMap<>();
  Instant now = Instant.EPOCH;
  private long starts;

  FakeGroup(int size) {
    for (int number = 0; number < size; number++) {
      Rank rank = new Rank(number);
      rank.version = FIRST_MAP;
      rank.map = new byte[] {(byte) FIRST_MAP};
      ranks.add(rank);
    }
  }

  GroupLeader leader(long epoch) {
    return GroupLeader.create(NAME, ranks.size(), epoch, GroupLeaderOptions.defaults());
  }

  /** Delivers one command and its answer at once. */
  void deliver(GroupLeader leader, Addressed addressed) {
    leader.onReply(ranks.get(addressed.rank()).handle(addressed.command()), now);
  }

  /** Exchanges messages until the leader is in the phase, or a bounded number of rounds is over. */
  boolean runUntil(GroupLeader leader, GroupLeader.Phase phase) {
    for (int round = 0; round < 40 && leader.phase() != phase; round++) {
      leader.poll(now).forEach(addressed -> deliver(leader, addressed));
      now = now.plus(Duration.ofMillis(300));
    }
    return leader.phase() == phase;
  }

  /** Lets every rank go as far as holds, maps and lock-step allow, a bounded number of steps. */
  void runSteps(int steps) {
    for (int i = 0; i < steps; i++) {
      ranks.forEach(Rank::tryStep);
    }
  }

  long lowestStep() {
    return ranks.stream().mapToLong(rank -> rank.step).min().orElseThrow();
  }

  /** One rank: engine and agent. */
  final class Rank {
    private final int number;
    long engineStart = ++starts;
    RankGate gate;
    private boolean agentForgot;
    long step;
    long version;
    long staged;
    long hold;
    long committed;
    long committedStep;
    byte[] map = new byte[0];
    byte[] stagedMap = new byte[0];
    byte[] committedMap = new byte[0];

    Rank(int number) {
      this.number = number;
      this.gate = RankGate.create(NAME, number);
    }

    void restartAgent() {
      gate = RankGate.create(NAME, number);
      agentForgot = true;
      endLostStep();
    }

    void restartEngine() {
      engineStart = ++starts;
      version = 0;
      staged = 0;
      hold = 0;
      committed = 0;
      committedStep = 0;
      map = new byte[0];
      endLostStep();
    }

    // A step that only this rank had begun ends with all memory of it: all begin it anew.
    private void endLostStep() {
      long others = ranks.stream().filter(r -> r != this).mapToLong(r -> r.step).max().orElse(step);
      if (agentForgot && version == 0 && step > others) {
        mapOfStep.remove(step);
        step = others;
      }
    }

    RankStatus status() {
      return new RankStatus(
          engineStart, step, version, staged, hold, committed, committedStep, map, List.of(), 5);
    }

    GroupReply handle(GroupCommand command) {
      RankGate.Verdict verdict = gate.admit(command, status());
      if (verdict.order()) {
        obey(command);
      }
      return gate.reply(command, verdict.code(), status());
    }

    private void obey(GroupCommand command) {
      switch (command.kind()) {
        case STAGE -> {
          staged = command.mapVersion();
          stagedMap = command.map();
        }
        case HOLD -> hold = command.step();
        case COMMIT -> {
          committed = staged;
          committedMap = stagedMap;
          committedStep = command.step();
          hold = hold == command.step() ? 0 : hold;
        }
        case RELEASE -> hold = 0;
        default -> throw new IllegalStateException(command.kind().name());
      }
    }

    /** Begins the next step if all ranks have done the last one and nothing holds it back. */
    boolean tryStep() {
      long next = step + 1;
      boolean othersDone = ranks.stream().allMatch(other -> other.step >= step);
      boolean free = hold == 0 || next < hold;
      if (committed != 0 && next >= committedStep) {
        version = committed;
        agentForgot = false;
        map = committedMap;
        committed = 0;
        committedStep = 0;
      }
      if (!othersDone || !free || version == 0) {
        return false;
      }
      step = next;
      Long before = mapOfStep.putIfAbsent(next, version);
      if (before != null && before != version) {
        throw new AssertionError("step " + next + " with maps " + before + " and " + version);
      }
      return true;
    }
  }
}
