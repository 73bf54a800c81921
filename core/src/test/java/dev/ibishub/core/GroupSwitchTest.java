package dev.ibishub.core;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.GroupLeader.Addressed;
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
  void switchTakesHoldAtOneStepOnAllRanksWithoutAStall() {
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
    assertThat(group.mapOfStep.values()).contains(FakeGroup.FIRST_MAP, version);
  }

  // A leader is killed after any number of its commands were delivered: some ranks have promised,
  // staged, held or committed and others have not. Users would see the group stop for good, or a
  // step run with two maps and answers that are noise. The cause is a successor that guesses.
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21})
  void successorOfALeaderKilledBetweenAnyTwoMessagesBringsAllToOneMap(int delivered) {
    GroupLeader first = readyLeader(1);
    first.offer(NEW_MAP);
    deliverOnly(first, delivered);
    group.runSteps(30);

    GroupLeader second = readyLeader(2);
    group.runSteps(30);

    assertThat(group.ranks).extracting(rank -> rank.version).containsOnly(second.version());
    assertThat(group.lowestStep()).isGreaterThanOrEqualTo(30);
  }

  // One rank gets the commit and begins the step; the leader dies before the others get it. If that
  // rank had forgotten the commit on applying it, the next leader would release the others, and
  // they would run the step on the old map.
  @Test
  void commitThatOneRankAppliedIsFinishedOnTheOthers() {
    GroupLeader first = holdingLeader();
    Addressed commit = first.poll(group.now).get(0);
    assertThat(commit.command().kind()).isEqualTo(GroupCommand.Kind.COMMIT);
    group.deliver(first, commit);
    group.runSteps(30);
    assertThat(group.ranks.get(commit.rank()).version).isEqualTo(commit.command().mapVersion());

    GroupLeader second = readyLeader(2);
    group.runSteps(30);

    assertThat(second.version()).isEqualTo(commit.command().mapVersion());
    assertThat(group.lowestStep()).isGreaterThan(commit.command().step());
  }

  // The same, and the agent of the rank that applied the commit restarts too: only its engine
  // knows.
  @Test
  void commitSurvivesARestartOfTheOnlyAgentThatKnewIt() {
    GroupLeader first = holdingLeader();
    Addressed commit = first.poll(group.now).get(0);
    group.deliver(first, commit);
    group.runSteps(30);
    group.ranks.get(commit.rank()).restartAgent();

    readyLeader(2);
    group.runSteps(30);

    assertThat(group.ranks).allMatch(rank -> rank.version == commit.command().mapVersion());
  }

  // The only rank that has the commit begins the step and then its engine dies: no engine shows the
  // new map any longer. Were the commit forgotten, the others would redo that step on the old map.
  @Test
  void commitSurvivesTheDeathOfTheOnlyEngineThatAppliedIt() {
    GroupLeader first = holdingLeader();
    Addressed commit = first.poll(group.now).get(0);
    group.deliver(first, commit);
    group.runSteps(30);
    group.ranks.get(commit.rank()).restartEngine();

    leadWhileRanksStep(2);

    assertThat(group.ranks).allMatch(rank -> rank.version == commit.command().mapVersion());
  }

  // A leader is paused with all holds in hand, its successor releases them, and it wakes and sends
  // its commits. Were they obeyed, ranks would switch at a step that others have passed.
  @Test
  void commitOfAPausedLeaderIsRefusedAfterItsSuccessorReleased() {
    GroupLeader first = holdingLeader();
    List<Addressed> late = first.poll(group.now);
    readyLeader(2);

    late.forEach(addressed -> group.deliver(first, addressed));
    group.runSteps(40);

    assertThat(first.phase()).isEqualTo(Phase.DEPOSED);
    assertThat(group.ranks).extracting(rank -> rank.version).containsOnly(FakeGroup.FIRST_MAP);
  }

  // A leader has all holds and is paused; a rank's agent restarts and remembers no promise; the
  // next leader releases. The late commit would find a rank that refuses nothing.
  @Test
  void rankThatLostItsMemoryObeysNoCommandOfTheOldIncarnation() {
    GroupLeader first = holdingLeader();
    List<Addressed> late = first.poll(group.now);
    group.ranks.get(0).restartAgent();

    assertThat(group.ranks.get(0).handle(late.get(0).command()).code())
        .isEqualTo(ResultCode.UNKNOWN_INCARNATION);
    readyLeader(2);
    assertThat(group.ranks.get(0).handle(late.get(0).command()).code())
        .isEqualTo(ResultCode.STALE_EPOCH);
  }

  // Messages are slow, the ranks have begun the step by the time the hold arrives. The switch must
  // be given up, not forced, and the next hold must be placed further ahead.
  @Test
  void lateHoldGivesTheSwitchUpAndTheNextHoldComesEarlier() {
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

  // One rank stalls while all hold: the others would wait for ever. The holds are given back, and
  // the copy of the hold that reaches the stalled rank later holds nothing.
  @Test
  void holdThatArrivesAfterItsReleaseHoldsNothing() {
    GroupLeader leader = readyLeader(1);
    leader.offer(NEW_MAP);
    group.runUntil(leader, Phase.HOLDING);
    List<Addressed> holds = leader.poll(group.now);
    holds.stream().skip(1).forEach(addressed -> group.deliver(leader, addressed));
    group.now = group.now.plus(GroupLeaderOptions.defaults().holdFor()).plusMillis(1);

    assertThat(group.runUntil(leader, Phase.READY)).isTrue();
    group.ranks.get(holds.get(0).rank()).handle(holds.get(0).command());
    group.runSteps(300);

    assertThat(group.lowestStep()).isEqualTo(300);
  }

  // An engine dies while a commit for a later step is known to one rank only. Back with an empty
  // memory it must run the steps before on the old map, like the others, and switch with them.
  @Test
  void engineThatStartedAnewJoinsWithoutMixingTheStepsBeforeAPendingCommit() {
    GroupLeader first = holdingLeader();
    List<Addressed> commits = first.poll(group.now);
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

  /** A leader that has every rank's hold and has sent no commit. */
  private GroupLeader holdingLeader() {
    GroupLeader leader = readyLeader(1);
    leader.offer(NEW_MAP);
    assertThat(group.runUntil(leader, Phase.HOLDING)).isTrue();
    leader.poll(group.now).forEach(addressed -> group.deliver(leader, addressed));
    assertThat(leader.phase()).isEqualTo(Phase.MENDING);
    return leader;
  }

  private void deliverOnly(GroupLeader leader, int commands) {
    int left = commands;
    while (left > 0) {
      for (Addressed addressed : leader.poll(group.now)) {
        if (left > 0) {
          group.deliver(leader, addressed);
          left--;
        }
      }
      group.now = group.now.plus(Duration.ofMillis(300));
    }
  }
}
