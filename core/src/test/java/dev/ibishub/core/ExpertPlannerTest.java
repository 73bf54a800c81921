package dev.ibishub.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.Arrays;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class ExpertPlannerTest {
  private static final Instant NOW = Instant.EPOCH.plusSeconds(100);
  private static final int RANKS = 4;
  private static final int EXPERTS = 8;

  private final ExpertPlanner planner =
      ExpertPlanner.create(ExpertPlannerOptions.preferringEvenSteps());
  private final ExpertMap map = ExpertMap.roundRobin(2, RANKS, 3, EXPERTS);
  private final double[] slowness = {1, 1, 1, 1};

  @Test
  void plansNothingForEvenLoad() {
    ExpertMap even = ExpertMap.roundRobin(2, RANKS, 2, EXPERTS);

    assertThat(planner.plan(even, popularity(1), slowness, Instant.MIN, NOW)).isEmpty();
  }

  @Test
  void replicatesHotExpertAndKeepsAllExperts() {
    ExpertPlanner.Plan plan =
        planner.plan(map, popularity(20), slowness, Instant.MIN, NOW).orElseThrow();

    assertThat(plan.skewAfter()).isLessThan(plan.skewBefore());
    assertThat(ExpertPlanner.skew(plan.map(), popularity(20), slowness))
        .isCloseTo(plan.skewAfter(), org.assertj.core.data.Offset.offset(1e-9));
    IntStream.range(0, 2).forEach(layer -> assertThat(held(plan.map(), layer)).hasSize(EXPERTS));
  }

  @Test
  void relievesSlowRank() {
    double[] oneSlow = {3, 1, 1, 1};

    ExpertPlanner.Plan plan =
        planner.plan(map, popularity(1), oneSlow, Instant.MIN, NOW).orElseThrow();

    assertThat(plan.skewAfter()).isLessThan(plan.skewBefore());
  }

  // Guards against a rebalance that fetches weights and delays a batch that is due soon.
  @Test
  void plansNothingWhileDeadlineIsNear() {
    assertThat(planner.plan(map, popularity(20), slowness, NOW.plusSeconds(1), NOW)).isEmpty();
  }

  @Test
  void mapSurvivesSerializationRoundTrip() {
    byte[] bytes = map.toBytes();

    assertThat(ExpertMap.fromBytes(2, RANKS, 3, bytes).toBytes()).isEqualTo(bytes);
    assertThat(ExpertMap.fromBytes(2, RANKS, 3, bytes).fetchesFrom(map)).isZero();
  }

  private static int[] held(ExpertMap map, int layer) {
    return IntStream.range(0, RANKS * map.slots())
        .map(slot -> map.expert(layer, slot / map.slots(), slot % map.slots()))
        .distinct()
        .toArray();
  }

  private static double[][] popularity(double hottest) {
    double[] one = new double[EXPERTS];
    Arrays.fill(one, 1);
    one[0] = hottest;
    return new double[][] {one, one.clone()};
  }
}
