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

/** What every plan keeps, for groups, demands and limits drawn at random. */
final class PlacementPropertyTest {
  private static final String SEED = "3";
  private static final int TRIES = 200;
  private static final double ROUNDING = 1e-9;
  private static final MapEconomy ECONOMY =
      new MapEconomy(skew -> 40 + 60 * skew, 50, 100, 0.15, 5_000);

  @SuppressWarnings("ArrayRecordComponent") // Never compared or hashed.
  private record Case(GroupMap map, double[][] demand, double[] slowness, PlacementLimits limits) {
    Optional<PlacementPlanner.Plan> plan() {
      return PlacementPlanner.plan(map, demand, slowness, limits, ECONOMY);
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
  void plansHoldAllExpertsWithinTheirLimits(@ForAll("cases") Case drawn) {
    drawn
        .plan()
        .ifPresent(
            plan -> {
              assertThat(plan.map().holdsAll(drawn.demand()[0].length)).isTrue();
              assertThat(Arrays.stream(plan.map().experts()).flatMap(Arrays::stream))
                  .allMatch(experts -> experts.length <= drawn.limits().placesPerRank())
                  .allMatch(experts -> Arrays.stream(experts).distinct().count() == experts.length);
            });
  }

  @Property(tries = TRIES, seed = SEED)
  void ranksFetchNoMoreThanAllowed(@ForAll("cases") Case drawn) {
    drawn
        .plan()
        .ifPresent(
            plan -> {
              int fetched = 0;
              for (int rank = 0; rank < drawn.map().ranks(); rank++) {
                int ofRank = drawn.map().fetches(plan.map(), rank);
                assertThat(ofRank).isLessThanOrEqualTo(drawn.limits().newPerRank());
                assertThat(mostNewOfASet(drawn.map(), plan.map(), rank))
                    .isLessThanOrEqualTo(drawn.limits().newPerSet());
                fetched += ofRank;
              }
              assertThat(plan.fetches()).isEqualTo(fetched);
            });
  }

  @Property(tries = TRIES, seed = SEED)
  void plansAreMoreEvenThanTheMapInUse(@ForAll("cases") Case drawn) {
    drawn
        .plan()
        .ifPresent(
            plan -> {
              double before = drawn.map().skew(drawn.demand(), drawn.slowness());
              double after = plan.map().skew(drawn.demand(), drawn.slowness());
              assertThat(after).isLessThan(before);
              assertThat(plan.skewAfter()).isBetween(after - ROUNDING, after + ROUNDING);
              assertThat(plan.gainMillis()).isPositive();
            });
  }

  @Property(tries = TRIES, seed = SEED)
  void samePlanForTheSameInput(@ForAll("cases") Case drawn) {
    Optional<int[][][]> first = drawn.plan().map(plan -> plan.map().experts());
    Optional<int[][][]> second = drawn.plan().map(plan -> plan.map().experts());

    assertThat(first.isPresent()).isEqualTo(second.isPresent());
    first.ifPresent(map -> assertThat(map).isDeepEqualTo(second.orElseThrow()));
  }

  private static int mostNewOfASet(GroupMap before, GroupMap after, int rank) {
    return IntStream.range(0, before.sets())
        .map(
            set ->
                (int)
                    Arrays.stream(after.experts()[set][rank])
                        .filter(
                            expert ->
                                Arrays.stream(before.experts()[set][rank])
                                    .noneMatch(own -> own == expert))
                        .count())
        .max()
        .orElse(0);
  }

  @Provide
  Arbitrary<Case> cases() {
    Arbitrary<Integer> ranks = Arbitraries.integers().between(1, 24);
    Arbitrary<Integer> sets = Arbitraries.integers().between(1, 4);
    Arbitrary<Integer> expertsPerRank = Arbitraries.integers().between(1, 4);
    Arbitrary<Integer> sparePlaces = Arbitraries.integers().between(0, 3);
    Arbitrary<Integer> newPerSet = Arbitraries.integers().between(1, 4);
    Arbitrary<Long> draws = Arbitraries.longs();
    return Combinators.combine(ranks, sets, expertsPerRank, sparePlaces, newPerSet, draws)
        .as(PlacementPropertyTest::drawn);
  }

  private static Case drawn(
      int ranks, int sets, int expertsPerRank, int sparePlaces, int newPerSet, long draws) {
    Random random = new Random(draws);
    int experts = Math.max(1, ranks * expertsPerRank - random.nextInt(2));
    GroupMap map = GroupMap.inTurn(ranks, sets, experts);
    PlacementLimits limits =
        new PlacementLimits(
            expertsPerRank + sparePlaces, newPerSet, newPerSet * sets, 1 + random.nextInt(3) * 0.1);
    return new Case(map, demand(sets, experts, random), slowness(ranks, random), limits);
  }

  /** Even, a power law, one expert that takes all, or nothing at all. */
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
