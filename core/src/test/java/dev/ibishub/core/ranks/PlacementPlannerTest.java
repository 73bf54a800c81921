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
  private static final PlacementLimits LIMITS = new PlacementLimits(5, 2, 2, 1.08);

  /** Fetches are short compared with a switch, so a plan uses all fetches that its limits allow. */
  private static final MapCostModel COST_MODEL =
      new MapCostModel(skew -> 40 + 60 * skew, 5, 100, 0.15, 5_000);

  private static GroupMap roundRobin() {
    return GroupMap.roundRobin(RANKS, SETS, EXPERTS);
  }

  /** Returns a skewed demand in which a few experts get most tokens. */
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
  void planRespectsAllLimits(long seed) {
    GroupMap current = roundRobin();

    PlacementPlanner.Plan plan =
        PlacementPlanner.plan(current, demand(seed), EVEN, LIMITS, COST_MODEL).orElseThrow();

    assertThat(plan.map().holdsAll(EXPERTS)).as("seed %d", seed).isTrue();
    for (int rank = 0; rank < RANKS; rank++) {
      assertThat(current.fetches(plan.map(), rank))
          .isLessThanOrEqualTo(LIMITS.maximumFetchesPerRank());
    }
    assertThat(Arrays.stream(plan.map().experts()).flatMap(Arrays::stream))
        .allMatch(experts -> experts.length <= LIMITS.slotsPerRank())
        .allMatch(experts -> Arrays.stream(experts).distinct().count() == experts.length);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void threePlansNearlyBalanceGroup(long seed) {
    double[][] demand = demand(seed);
    GroupMap map = roundRobin();
    for (int round = 0; round < 3; round++) {
      map =
          PlacementPlanner.plan(map, demand, EVEN, LIMITS, COST_MODEL)
              .map(PlacementPlanner.Plan::map)
              .orElse(map);
    }

    assertThat(roundRobin().skew(demand, EVEN)).isGreaterThan(1.6);
    assertThat(map.skew(demand, EVEN)).as("seed %d", seed).isLessThan(1.2);
  }

  // Guards against waiting for all fetches of a balanced map before using any of them. With slow
  // fetches, a map with a single fetch per rank already halves the step time half a second earlier.
  @Test
  void fetchesOneExpertPerRankWhenFetchesAreSlow() {
    MapCostModel slowFetches = new MapCostModel(skew -> 40 + 60 * skew, 400, 100, 0.15, 5_000);

    PlacementPlanner.Plan plan =
        PlacementPlanner.plan(roundRobin(), demand(1), EVEN, LIMITS, slowFetches).orElseThrow();

    for (int rank = 0; rank < RANKS; rank++) {
      assertThat(roundRobin().fetches(plan.map(), rank)).isLessThanOrEqualTo(1);
    }
  }

  // Guards against a planner that never plans again: a paused VM stalls one switch for 8 s, and if
  // that counts as the usual time of a switch, every map seems too late until the leader changes.
  @Test
  void stillPlansAfterOneLongSwitch() {
    MapCostModel afterLongSwitch = new MapCostModel(skew -> 40 + 60 * skew, 50, 8_000, 0.15, 5_000);

    assertThat(PlacementPlanner.plan(roundRobin(), demand(1), EVEN, LIMITS, afterLongSwitch))
        .isPresent();
  }

  // Guards against endless fetches that slow down all steps: if demand shifts before each new map
  // is ready, none of the maps ever fits.
  @Test
  void plansNothingWhenDemandEndsBeforeFetchDoes() {
    MapCostModel shortDemand = new MapCostModel(skew -> 40 + 60 * skew, 400, 100, 0.15, 450);

    assertThat(PlacementPlanner.plan(roundRobin(), demand(1), EVEN, LIMITS, shortDemand)).isEmpty();
  }

  // Guards against a gain threshold that depends on the size of the group: if the gain of one
  // expert in one layer set is compared with the load of all layer sets and ranks, large groups
  // stay unbalanced and their steps take twice as long as necessary.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void balancesLargeGroupAsWellAsSmallOne(long seed) {
    Random random = new Random(seed);
    int ranks = 192;
    double[] even = IntStream.range(0, ranks).mapToDouble(rank -> 1).toArray();
    double[][] demand =
        IntStream.range(0, 2)
            .mapToObj(
                set ->
                    IntStream.range(0, 2 * ranks)
                        .mapToDouble(e -> Math.pow(1 + random.nextInt(2 * ranks), -0.44))
                        .toArray())
            .toArray(double[][]::new);
    GroupMap map = GroupMap.roundRobin(ranks, demand.length, 2 * ranks);
    PlacementLimits limits = new PlacementLimits(3, 2, 4, 1.05);
    for (int round = 0; round < 3; round++) {
      map =
          PlacementPlanner.plan(map, demand, even, limits, COST_MODEL)
              .map(PlacementPlanner.Plan::map)
              .orElse(map);
    }

    assertThat(map.skew(demand, even)).as("seed %d", seed).isLessThan(1.2);
  }

  @Test
  void plansNothingForEvenDemand() {
    double[][] even = new double[SETS][EXPERTS];
    Arrays.stream(even).forEach(set -> Arrays.fill(set, 3));

    assertThat(PlacementPlanner.plan(roundRobin(), even, EVEN, LIMITS, COST_MODEL))
        .isEqualTo(Optional.empty());
  }

  @Test
  void plansNothingWithoutDemand() {
    assertThat(
            PlacementPlanner.plan(
                roundRobin(), new double[SETS][EXPERTS], EVEN, LIMITS, COST_MODEL))
        .isEmpty();
  }

  // Guards against a slow rank that keeps its share of the experts: ranks run in lock-step, so
  // every step would wait for it.
  @Test
  void reducesSkewWhenOneRankIsSlow() {
    double[][] demand = demand(4);
    double[] slowness = EVEN.clone();
    slowness[3] = 3;
    GroupMap map = roundRobin();
    for (int round = 0; round < 4; round++) {
      map =
          PlacementPlanner.plan(map, demand, slowness, LIMITS, COST_MODEL)
              .map(PlacementPlanner.Plan::map)
              .orElse(map);
    }

    assertThat(map.skew(demand, slowness)).isLessThan(0.6 * roundRobin().skew(demand, slowness));
  }
}
