package dev.ibishub.core;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.GroupLeader.AddressedCommand;
import dev.ibishub.core.GroupLeader.Phase;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class GroupSwitchTest {
  private static final byte[] NEW_MAP = {9};

  private final FakeGroup group = new FakeGroup(3);

  @Test
  void allRanksSwitchAtOneStepWithoutStalling() {
    GroupLeader leader = readyLeader(1);
    group.runSteps(5);
    long version = leader.offer(NEW_MAP).orElseThrow();

    while (leader.phase() != Phase.READY) {
      leader.poll(group.now).forEach(addressed -> group.deliver(leader, addressed));
      group.now = group.now.plus(Duration.ofMillis(1));
    }
    group.runSteps(50);

    assertThat(group.ranks).allMatch(rank -> rank.version == version && rank.map[0] == 9);
    assertThat(group.lowestStep()).isEqualTo(55);
    assertThat(group.mapVersionByStep.values()).contains(FakeGroup.FIRST_MAP, version);
  }

  // Guards against a successor that guesses what was decided: a leader is killed after any number
  // of its commands were delivered, so that only some ranks have promised, staged, held or
  // committed. The group would stop forever, or run a step with two maps and return garbage.
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21})
  void successorMovesAllRanksToOneMapAfterLeaderDiesBetweenMessages(int delivered) {
    GroupLeader first = readyLeader(1);
    first.offer(NEW_MAP);
    deliverOnly(first, delivered);
    group.runSteps(30);

    GroupLeader second = readyLeader(2);
    group.runSteps(30);

    assertThat(group.ranks).extracting(rank -> rank.version).containsOnly(second.version());
    assertThat(group.lowestStep()).isGreaterThanOrEqualTo(30);
  }

  // Guards against forgetting a commit once it is applied: one rank applies the commit and begins
  // the step, and the leader dies before the others receive it. The next leader would release the
  // others, which would run the step with the old map.
  @Test
  void successorCompletesCommitAppliedByOneRank() {
    GroupLeader first = holdingLeader();
    AddressedCommand commit = first.poll(group.now).get(0);
    assertThat(commit.command().kind()).isEqualTo(GroupCommand.Kind.COMMIT);
    group.deliver(first, commit);
    group.runSteps(30);
    assertThat(group.ranks.get(commit.rank()).version).isEqualTo(commit.command().mapVersion());

    GroupLeader second = readyLeader(2);
    group.runSteps(30);

    assertThat(second.version()).isEqualTo(commit.command().mapVersion());
    assertThat(group.lowestStep()).isGreaterThan(commit.command().step());
  }

  // As above, and the agent of the rank that applied the commit restarts too, so that only its
  // engine knows of the commit.
  @Test
  void commitSurvivesRestartOfOnlyAgentThatKnewIt() {
    GroupLeader first = holdingLeader();
    AddressedCommand commit = first.poll(group.now).get(0);
    group.deliver(first, commit);
    group.runSteps(30);
    group.ranks.get(commit.rank()).restartAgent();

    readyLeader(2);
    group.runSteps(30);

    assertThat(group.ranks).allMatch(rank -> rank.version == commit.command().mapVersion());
  }

  // Guards against forgetting a commit when the engine dies: the only rank that has the commit
  // begins the step, its engine restarts, and no engine reports the new map any longer. The others
  // would run that step with the old map.
  @Test
  void commitSurvivesRestartOfOnlyEngineThatAppliedIt() {
    GroupLeader first = holdingLeader();
    AddressedCommand commit = first.poll(group.now).get(0);
    group.deliver(first, commit);
    group.runSteps(30);
    group.ranks.get(commit.rank()).restartEngine();

    leadWhileRanksStep(2);

    assertThat(group.ranks).allMatch(rank -> rank.version == commit.command().mapVersion());
  }

  // Guards against commits of a superseded leader: it is paused when it has all holds, its
  // successor releases them, and it resumes and sends its commits. Ranks would switch at a step
  // that others have passed.
  @Test
  void refusesCommitOfPausedLeaderAfterSuccessorReleased() {
    GroupLeader first = holdingLeader();
    List<AddressedCommand> lateCommits = first.poll(group.now);
    readyLeader(2);

    lateCommits.forEach(addressed -> group.deliver(first, addressed));
    group.runSteps(40);

    assertThat(first.phase()).isEqualTo(Phase.DEPOSED);
    assertThat(group.ranks).extracting(rank -> rank.version).containsOnly(FakeGroup.FIRST_MAP);
  }

  // Guards against a late commit at a rank that lost its promises: a leader is paused when it has
  // all holds, a rank's agent restarts, and the next leader releases the holds.
  @Test
  void rankWithoutStateRefusesCommandsOfOldIncarnation() {
    GroupLeader first = holdingLeader();
    List<AddressedCommand> lateCommits = first.poll(group.now);
    group.ranks.get(0).restartAgent();

    assertThat(group.ranks.get(0).handle(lateCommits.get(0).command()).code())
        .isEqualTo(ResultCode.UNKNOWN_INCARNATION);
    readyLeader(2);
    assertThat(group.ranks.get(0).handle(lateCommits.get(0).command()).code())
        .isEqualTo(ResultCode.STALE_EPOCH);
  }

  // Messages are so slow that the ranks have begun the step when the hold arrives. The switch must
  // be abandoned, and the next hold must be placed further ahead.
  @Test
  void lateHoldAbandonsSwitchAndIncreasesLeadOfNextHold() {
    GroupLeader leader = readyLeader(1);
    leader.offer(NEW_MAP);
    assertThat(group.runUntil(leader, Phase.HOLDING)).isTrue();
    long firstLead = leader.poll(group.now).get(0).command().step() - group.lowestStep();
    group.runSteps(200);
    group.now = group.now.plus(Duration.ofMillis(300));

    assertThat(group.runUntil(leader, Phase.READY)).isTrue();
    assertThat(leader.failedSwitches()).isEqualTo(1);
    leader.offer(NEW_MAP);
    group.runUntil(leader, Phase.HOLDING);
    assertThat(leader.poll(group.now).get(0).command().step() - group.lowestStep())
        .isGreaterThan(firstLead);
  }

  // Guards against a group that waits forever: one rank stalls while the others hold. The holds are
  // released, and the copy of the hold that reaches the stalled rank later must have no effect.
  @Test
  void ignoresHoldThatArrivesAfterRelease() {
    GroupLeader leader = readyLeader(1);
    leader.offer(NEW_MAP);
    group.runUntil(leader, Phase.HOLDING);
    List<AddressedCommand> holds = leader.poll(group.now);
    holds.stream().skip(1).forEach(addressed -> group.deliver(leader, addressed));
    group.now = group.now.plus(GroupLeaderOptions.defaults().holdTimeout()).plusMillis(1);

    assertThat(group.runUntil(leader, Phase.READY)).isTrue();
    group.ranks.get(holds.get(0).rank()).handle(holds.get(0).command());
    group.runSteps(300);

    assertThat(group.lowestStep()).isEqualTo(300);
  }

  // Guards against mixed maps before a pending commit: an engine restarts while only one rank knows
  // of a commit for a later step. It must run the steps before it with the old map, like the
  // others, and switch together with them.
  @Test
  void restartedEngineUsesOldMapUntilPendingCommit() {
    GroupLeader first = holdingLeader();
    List<AddressedCommand> commits = first.poll(group.now);
    group.deliver(first, commits.get(0));
    group.ranks.get(2).restartEngine();

    leadWhileRanksStep(2);

    long version = commits.get(0).command().mapVersion();
    assertThat(group.ranks).allMatch(rank -> rank.version == version);
    assertThat(group.lowestStep()).isGreaterThan(commits.get(0).command().step());
  }

  private GroupLeader readyLeader(long epoch) {
    GroupLeader leader = group.leader(epoch);
    assertThat(group.runUntil(leader, Phase.READY)).isTrue();
    return leader;
  }

  private void leadWhileRanksStep(long epoch) {
    GroupLeader leader = group.leader(epoch);
    for (int round = 0; round < 40; round++) {
      leader.poll(group.now).forEach(addressed -> group.deliver(leader, addressed));
      group.now = group.now.plus(Duration.ofMillis(300));
      group.runSteps(2);
    }
    assertThat(leader.phase()).isEqualTo(Phase.READY);
  }

  /** Returns a leader that has the hold of every rank and has sent no commit. */
  private GroupLeader holdingLeader() {
    GroupLeader leader = readyLeader(1);
    leader.offer(NEW_MAP);
    assertThat(group.runUntil(leader, Phase.HOLDING)).isTrue();
    leader.poll(group.now).forEach(addressed -> group.deliver(leader, addressed));
    assertThat(leader.phase()).isEqualTo(Phase.MENDING);
    return leader;
  }

  private void deliverOnly(GroupLeader leader, int commands) {
    int remaining = commands;
    while (remaining > 0) {
      for (AddressedCommand addressed : leader.poll(group.now)) {
        if (remaining > 0) {
          group.deliver(leader, addressed);
          remaining--;
        }
      }
      group.now = group.now.plus(Duration.ofMillis(300));
    }
  }
}
