package dev.ibishub.core;

import dev.ibishub.core.GroupLeader.AddressedCommand;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Ranks in lock-step on engines that ignore fencing tokens, behind real rank gates. Throws an
 * {@link AssertionError} when two ranks run one step with different maps.
 */
final class FakeGroup {
  static final long FIRST_MAP = 7;
  static final String NAME = "dictionary";

  final List<Rank> ranks = new ArrayList<>();
  final Map<Long, Long> mapVersionByStep = new HashMap<>();
  Instant now = Instant.EPOCH;
  private long engineStarts;

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

  /** Delivers one command and its reply at once. */
  void deliver(GroupLeader leader, AddressedCommand addressed) {
    leader.onReply(ranks.get(addressed.rank()).handle(addressed.command()), now);
  }

  /**
   * Exchanges messages until the leader is in the phase, at most a fixed number of rounds; returns
   * whether it got there.
   */
  boolean runUntil(GroupLeader leader, GroupLeader.Phase phase) {
    for (int round = 0; round < 40 && leader.phase() != phase; round++) {
      leader.poll(now).forEach(addressed -> deliver(leader, addressed));
      now = now.plus(Duration.ofMillis(300));
    }
    return leader.phase() == phase;
  }

  /** Lets every rank step as far as holds, maps and lock-step allow, up to a number of steps. */
  void runSteps(int steps) {
    for (int i = 0; i < steps; i++) {
      ranks.forEach(Rank::tryStep);
    }
  }

  long lowestStep() {
    return ranks.stream().mapToLong(rank -> rank.step).min().orElseThrow();
  }

  /** One rank with its engine and agent. */
  final class Rank {
    private final int number;
    long engineStart = ++engineStarts;
    RankGate gate;
    private boolean agentLostState;
    long step;
    long version;
    long stagedVersion;
    long heldStep;
    long committedVersion;
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
      agentLostState = true;
      discardUnsharedStep();
    }

    void restartEngine() {
      engineStart = ++engineStarts;
      version = 0;
      stagedVersion = 0;
      heldStep = 0;
      committedVersion = 0;
      committedStep = 0;
      map = new byte[0];
      discardUnsharedStep();
    }

    // A step that only this rank had begun is lost with all state of it: all ranks begin it again.
    private void discardUnsharedStep() {
      long newestStepOfOthers =
          ranks.stream()
              .filter(other -> other != this)
              .mapToLong(other -> other.step)
              .max()
              .orElse(step);
      if (agentLostState && version == 0 && step > newestStepOfOthers) {
        mapVersionByStep.remove(step);
        step = newestStepOfOthers;
      }
    }

    RankStatus status() {
      return new RankStatus(
          engineStart,
          step,
          version,
          stagedVersion,
          heldStep,
          committedVersion,
          committedStep,
          map,
          List.of(),
          5);
    }

    GroupReply handle(GroupCommand command) {
      RankGate.Verdict verdict = gate.admit(command, status());
      if (verdict.forward()) {
        execute(command);
      }
      return gate.reply(command, verdict.code(), status());
    }

    private void execute(GroupCommand command) {
      switch (command.kind()) {
        case STAGE -> {
          stagedVersion = command.mapVersion();
          stagedMap = command.map();
        }
        case HOLD -> heldStep = command.step();
        case COMMIT -> {
          committedVersion = stagedVersion;
          committedMap = stagedMap;
          committedStep = command.step();
          heldStep = heldStep == command.step() ? 0 : heldStep;
        }
        case RELEASE -> heldStep = 0;
        default -> throw new IllegalStateException(command.kind().name());
      }
    }

    /**
     * Begins the next step if all ranks have finished the last one and no hold prevents it; returns
     * whether it did.
     */
    boolean tryStep() {
      long next = step + 1;
      boolean othersDone = ranks.stream().allMatch(other -> other.step >= step);
      boolean notHeld = heldStep == 0 || next < heldStep;
      if (committedVersion != 0 && next >= committedStep) {
        version = committedVersion;
        agentLostState = false;
        map = committedMap;
        committedVersion = 0;
        committedStep = 0;
      }
      if (!othersDone || !notHeld || version == 0) {
        return false;
      }
      step = next;
      Long otherVersion = mapVersionByStep.putIfAbsent(next, version);
      if (otherVersion != null && otherVersion != version) {
        throw new AssertionError("step " + next + " with maps " + otherVersion + " and " + version);
      }
      return true;
    }
  }
}
