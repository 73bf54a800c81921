package dev.ibishub.core.ranks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class PlacementPlannerTest {
  private static final int RANKS = 16;
  private static final int SETS = 4;
  private static final int EXPERTS = 64;
  private static final double[] EVEN = IntStream.range(0, RANKS).mapToDouble(i -> 1).toArray();
  private static final PlacementLimits LIMITS = new PlacementLimits(5, 2, 2, 0.002, 1.08);

  private static GroupMap inTurn() {
    int[][] set =
        IntStream.range(0, RANKS)
            .mapToObj(rank -> IntStream.range(0, EXPERTS).filter(e -> e % RANKS == rank).toArray())
            .toArray(int[][]::new);
    return GroupMap.of(IntStream.range(0, SETS).mapToObj(i -> set).toArray(int[][][]::new));
  }

  /** A few experts get most tokens, as with a handful of subjects in demand. */
  private static double[][] demand(long seed) {
    Random random = new Random(seed);
    return IntStream.range(0, SETS)
        .mapToObj(
            set ->
                IntStream.range(0, EXPERTS)
                    .mapToDouble(e -> 100 / Math.pow(1 + random.nextInt(EXPERTS), 1.1))
                    .toArray())
        .toArray(double[][]::new);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void plansKeepAllLimits(long seed) {
    GroupMap current = inTurn();

    PlacementPlanner.Plan plan =
        PlacementPlanner.plan(current, demand(seed), EVEN, LIMITS).orElseThrow();

    assertThat(plan.map().holdsAll(EXPERTS)).as("seed %d", seed).isTrue();
    for (int rank = 0; rank < RANKS; rank++) {
      assertThat(current.fetches(plan.map(), rank)).isLessThanOrEqualTo(LIMITS.newPerRank());
    }
    assertThat(Arrays.stream(plan.map().experts()).flatMap(Arrays::stream))
        .allMatch(experts -> experts.length <= LIMITS.placesPerRank())
        .allMatch(experts -> Arrays.stream(experts).distinct().count() == experts.length);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void threeMapsBringTheGroupNearToEvenSteps(long seed) {
    double[][] demand = demand(seed);
    GroupMap map = inTurn();
    for (int round = 0; round < 3; round++) {
      map =
          PlacementPlanner.plan(map, demand, EVEN, LIMITS)
              .map(PlacementPlanner.Plan::map)
              .orElse(map);
    }

    assertThat(inTurn().skew(demand, EVEN)).isGreaterThan(1.6);
    assertThat(map.skew(demand, EVEN)).as("seed %d", seed).isLessThan(1.2);
  }

  @Test
  void evenDemandMovesNothing() {
    double[][] even = new double[SETS][EXPERTS];
    Arrays.stream(even).forEach(set -> Arrays.fill(set, 3));

    assertThat(PlacementPlanner.plan(inTurn(), even, EVEN, LIMITS)).isEqualTo(Optional.empty());
  }

  @Test
  void noDemandMovesNothing() {
    assertThat(PlacementPlanner.plan(inTurn(), new double[SETS][EXPERTS], EVEN, LIMITS)).isEmpty();
  }

  // Every stream of the group stutters. One rank turned slow and kept its part of the experts, and
  // ranks step together, so each pass waited for it.
  @Test
  void slowRankGetsFewerTokens() {
    double[][] demand = demand(4);
    double[] slowness = EVEN.clone();
    slowness[3] = 3;
    GroupMap map = inTurn();
    for (int round = 0; round < 4; round++) {
      map =
          PlacementPlanner.plan(map, demand, slowness, LIMITS)
              .map(PlacementPlanner.Plan::map)
              .orElse(map);
    }

    assertThat(map.skew(demand, slowness)).isLessThan(0.6 * inTurn().skew(demand, slowness));
  }
}
