package dev.ibishub.standins;

import static dev.ibishub.standins.StandInFixture.codeOf;
import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.ResultCode;
import dev.ibishub.engines.HttpModelEngine;
import dev.ibishub.engines.ModelEngine;
import dev.ibishub.engines.RankOrder;
import dev.ibishub.engines.RankState;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class EngineGroupTest {
  private static final byte[] NEXT_MAP = {1, 1, 0, 0};
  private static final int MAXIMUM_READS = 20_000;
  private static final long STEPS_AHEAD = 50;

  /** A switch that is staged, held and committed at every rank mixes no maps in any step. */
  @Test
  void mixesNoMapsWhenSwitchIsHeldAtEveryRank() throws Exception {
    try (StandInFixture fixture = group()) {
      List<ModelEngine> ranks = ranks(fixture);
      ranks.forEach(rank -> rank.orderRank(stage(2)).join());
      long step = holdAll(ranks);
      ranks.forEach(rank -> rank.orderRank(commit(2, step)).join());
      ranks.forEach(rank -> await(rank, state -> state.step() >= step));
      EngineGroup.Audit audit = fixture.audit("/control/group", EngineGroup.Audit.class);
      assertThat(audit.mixedStepCount()).isZero();
      assertThat(audit.mapVersions()).containsExactly(2L, 2L);
    }
  }

  /**
   * Checks that the audit detects mixed maps. A leader dies between its two commits while the other
   * rank isn't held, so one rank continues with the new map and the other with the old one.
   */
  @Test
  void auditFindsSwitchAtOneRankAlone() throws Exception {
    try (StandInFixture fixture = group()) {
      List<ModelEngine> ranks = ranks(fixture);
      ranks.forEach(rank -> rank.orderRank(stage(2)).join());
      ModelEngine first = ranks.get(0);
      long step = firstAccepted(first, at -> codeOf(first.orderRank(commit(2, at))));
      await(first, state -> state.step() >= step);
      assertThat(fixture.audit("/control/group", EngineGroup.Audit.class).mixedStepCount())
          .isPositive();
    }
  }

  /** Ranks run in lock-step, so a hold at one rank holds every other rank. */
  @Test
  void holdsWholeGroupUntilHeldRankIsReleased() throws Exception {
    try (StandInFixture fixture = group()) {
      List<ModelEngine> ranks = ranks(fixture);
      ModelEngine first = ranks.get(0);
      long step = firstAccepted(first, at -> codeOf(first.orderRank(hold(at))));
      await(ranks.get(1), state -> state.step() == step - 1);
      assertThat(ranks.get(1).rank().join().step()).isEqualTo(step - 1);
      first.orderRank(new RankOrder(RankOrder.Kind.RELEASE, 1, 0, 0, new byte[0])).join();
      await(ranks.get(1), state -> state.step() >= step);
    }
  }

  @Test
  void refusesHoldOfStepThatHasBegun() throws Exception {
    try (StandInFixture fixture = group()) {
      ModelEngine first = ranks(fixture).get(0);
      await(first, state -> state.step() >= 1);
      assertThat(codeOf(first.orderRank(hold(1)))).isEqualTo(ResultCode.STEP_ALREADY_PASSED);
    }
  }

  @Test
  void refusesCommitOfMapThatIsNotStaged() throws Exception {
    try (StandInFixture fixture = group()) {
      assertThat(codeOf(ranks(fixture).get(0).orderRank(commit(9, Long.MAX_VALUE))))
          .isEqualTo(ResultCode.MAP_NOT_STAGED);
    }
  }

  /**
   * Guards against answers from mixed maps after a restart. A rank that restarts without its state
   * must not step with its first map; it waits until a map is committed to it.
   */
  @Test
  void waitsForCommittedMapAfterRankRestarts() throws Exception {
    try (StandInFixture fixture = group()) {
      List<ModelEngine> ranks = ranks(fixture);
      fixture.control("POST", "/control/restart", new byte[0]);
      long stopped = ranks.get(1).rank().join().step();
      ranks.get(1).orderRank(hold(stopped + 1)).join();
      ranks.forEach(rank -> rank.orderRank(stage(2)).join());
      ranks.forEach(rank -> rank.orderRank(commit(2, stopped + 1)).join());
      ranks.forEach(rank -> await(rank, state -> state.mapVersion() == 2));
      assertThat(fixture.audit("/control/group", EngineGroup.Audit.class).mixedStepCount())
          .isZero();
    }
  }

  private static StandInFixture group() throws Exception {
    return StandInFixture.start(
        "engine", "--group", "g", "--ranks", "2", "--experts", "4", "--step-millis", "1");
  }

  private static List<ModelEngine> ranks(StandInFixture fixture) {
    return Stream.of(0, 1)
        .<ModelEngine>map(rank -> HttpModelEngine.create(fixture.base(rank), fixture.client()))
        .toList();
  }

  private static long holdAll(List<ModelEngine> ranks) {
    return firstAccepted(
        ranks.get(0),
        step ->
            ranks.stream()
                .map(rank -> codeOf(rank.orderRank(hold(step))))
                .filter(code -> code != ResultCode.OK)
                .findFirst()
                .orElse(ResultCode.OK));
  }

  /** Tries steps ahead of the group until the order is accepted, and returns that step. */
  private static long firstAccepted(ModelEngine rank, StepOrder order) {
    for (int attempt = 0; attempt < 100; attempt++) {
      long step = rank.rank().join().step() + STEPS_AHEAD;
      if (order.at(step) == ResultCode.OK) {
        return step;
      }
    }
    throw new AssertionError("no order was in time");
  }

  private static void await(ModelEngine rank, Predicate<RankState> reached) {
    boolean seen = Stream.generate(() -> rank.rank().join()).limit(MAXIMUM_READS).anyMatch(reached);
    assertThat(seen).isTrue();
  }

  private static RankOrder stage(long version) {
    return new RankOrder(RankOrder.Kind.STAGE, 1, version, 0, NEXT_MAP);
  }

  private static RankOrder hold(long step) {
    return new RankOrder(RankOrder.Kind.HOLD, 1, 0, step, new byte[0]);
  }

  private static RankOrder commit(long version, long step) {
    return new RankOrder(RankOrder.Kind.COMMIT, 1, version, step, new byte[0]);
  }

  private interface StepOrder {
    ResultCode at(long step);
  }
}
