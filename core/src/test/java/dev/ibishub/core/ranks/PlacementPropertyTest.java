package dev.ibishub.core.ranks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Properties of every plan, for random groups, demands and limits. */
final class PlacementPropertyTest {
  private static final String SEED = "3";
  private static final int TRIES = 200;
  private static final double ROUNDING_ERROR = 1e-9;
  private static final MapCostModel COST_MODEL =
      new MapCostModel(skew -> 40 + 60 * skew, 50, 100, 0.15, 5_000);

  @SuppressWarnings("ArrayRecordComponent") // Never compared or hashed.
  private record Case(GroupMap map, double[][] demand, double[] slowness, PlacementLimits limits) {
    Optional<PlacementPlanner.Plan> plan() {
      return PlacementPlanner.plan(map, demand, slowness, limits, COST_MODEL);
    }

    @Override
    public String toString() {
      return map.ranks()
          + " ranks, "
          + map.sets()
          + " sets, "
          + demand[0].length
          + " experts, "
          + limits;
    }
  }

  @Property(tries = TRIES, seed = SEED)
  void plansHoldAllExpertsWithinSlotLimit(@ForAll("cases") Case testCase) {
    testCase
        .plan()
        .ifPresent(
            plan -> {
              assertThat(plan.map().holdsAll(testCase.demand()[0].length)).isTrue();
              assertThat(Arrays.stream(plan.map().experts()).flatMap(Arrays::stream))
                  .allMatch(experts -> experts.length <= testCase.limits().slotsPerRank())
                  .allMatch(experts -> Arrays.stream(experts).distinct().count() == experts.length);
            });
  }

  @Property(tries = TRIES, seed = SEED)
  void ranksFetchNoMoreThanAllowed(@ForAll("cases") Case testCase) {
    testCase
        .plan()
        .ifPresent(
            plan -> {
              int fetched = 0;
              for (int rank = 0; rank < testCase.map().ranks(); rank++) {
                int fetchedByRank = testCase.map().fetches(plan.map(), rank);
                assertThat(fetchedByRank)
                    .isLessThanOrEqualTo(testCase.limits().maximumFetchesPerRank());
                assertThat(largestFetchCountOfSet(testCase.map(), plan.map(), rank))
                    .isLessThanOrEqualTo(testCase.limits().maximumFetchesPerSet());
                fetched += fetchedByRank;
              }
              assertThat(plan.fetches()).isEqualTo(fetched);
            });
  }

  @Property(tries = TRIES, seed = SEED)
  void plansReduceSkew(@ForAll("cases") Case testCase) {
    testCase
        .plan()
        .ifPresent(
            plan -> {
              double before = testCase.map().skew(testCase.demand(), testCase.slowness());
              double after = plan.map().skew(testCase.demand(), testCase.slowness());
              assertThat(after).isLessThan(before);
              assertThat(plan.skewAfter())
                  .isBetween(after - ROUNDING_ERROR, after + ROUNDING_ERROR);
              assertThat(plan.gainMillis()).isPositive();
            });
  }

  @Property(tries = TRIES, seed = SEED)
  void planIsDeterministic(@ForAll("cases") Case testCase) {
    Optional<int[][][]> first = testCase.plan().map(plan -> plan.map().experts());
    Optional<int[][][]> second = testCase.plan().map(plan -> plan.map().experts());

    assertThat(first.isPresent()).isEqualTo(second.isPresent());
    first.ifPresent(map -> assertThat(map).isDeepEqualTo(second.orElseThrow()));
  }

  private static int largestFetchCountOfSet(GroupMap before, GroupMap after, int rank) {
    return IntStream.range(0, before.sets())
        .map(
            set ->
                (int)
                    Arrays.stream(after.experts()[set][rank])
                        .filter(
                            expert ->
                                Arrays.stream(before.experts()[set][rank])
                                    .noneMatch(held -> held == expert))
                        .count())
        .max()
        .orElse(0);
  }

  @Provide
  Arbitrary<Case> cases() {
    Arbitrary<Integer> ranks = Arbitraries.integers().between(1, 24);
    Arbitrary<Integer> sets = Arbitraries.integers().between(1, 4);
    Arbitrary<Integer> expertsPerRank = Arbitraries.integers().between(1, 4);
    Arbitrary<Integer> spareSlots = Arbitraries.integers().between(0, 3);
    Arbitrary<Integer> maximumFetchesPerSet = Arbitraries.integers().between(1, 4);
    Arbitrary<Long> randomSeed = Arbitraries.longs();
    return Combinators.combine(
            ranks, sets, expertsPerRank, spareSlots, maximumFetchesPerSet, randomSeed)
        .as(PlacementPropertyTest::createCase);
  }

  private static Case createCase(
      int ranks,
      int sets,
      int expertsPerRank,
      int spareSlots,
      int maximumFetchesPerSet,
      long randomSeed) {
    Random random = new Random(randomSeed);
    int experts = Math.max(1, ranks * expertsPerRank - random.nextInt(2));
    GroupMap map = GroupMap.roundRobin(ranks, sets, experts);
    PlacementLimits limits =
        new PlacementLimits(
            expertsPerRank + spareSlots,
            maximumFetchesPerSet,
            maximumFetchesPerSet * sets,
            1 + random.nextInt(3) * 0.1);
    return new Case(map, demand(sets, experts, random), slowness(ranks, random), limits);
  }

  /** Returns one of four demands: even, a power law, a single hot expert, or none at all. */
  private static double[][] demand(int sets, int experts, Random random) {
    int shape = random.nextInt(4);
    int hot = random.nextInt(experts);
    return IntStream.range(0, sets)
        .mapToObj(
            set ->
                IntStream.range(0, experts)
                    .mapToDouble(
                        expert ->
                            switch (shape) {
                              case 0 -> 1;
                              case 1 -> 100 / Math.pow(1 + random.nextInt(experts), 1.1);
                              case 2 -> expert == hot ? 1_000 : 0;
                              default -> 0;
                            })
                    .toArray())
        .toArray(double[][]::new);
  }

  private static double[] slowness(int ranks, Random random) {
    boolean hasSlowRank = random.nextInt(4) == 0;
    double[] slowness = IntStream.range(0, ranks).mapToDouble(rank -> 1).toArray();
    slowness[random.nextInt(ranks)] = hasSlowRank ? 3 : 1;
    return slowness;
  }
}
