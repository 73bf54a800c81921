package dev.ibishub.core.ranks;

import java.util.Arrays;
import java.util.Comparator;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * Plans the next map of a group: copies one expert after the other to another rank, always the one
 * that shortens the pass most, until the ranks are even enough or copying gains too little.
 * Stateless.
 *
 * <p>In each set the pass waits for the most loaded rank, so that is what counts; but where two
 * ranks are equally loaded, relieving one alone gains nothing. Loads are therefore compared by a
 * norm that is close to the maximum and falls with each of the heavy ranks.
 */
public final class PlacementPlanner {
  private static final int HEAVY_RANKS_TRIED = 3;

  private PlacementPlanner() {}

  /**
   * A planned map.
   *
   * @param map the map
   * @param fetches how many experts have to be copied in all
   * @param skewBefore times the mean that the most loaded ranks have now
   * @param skewAfter and would have with the map
   */
  public record Plan(GroupMap map, int fetches, double skewBefore, double skewAfter) {}

  /**
   * Plans.
   *
   * @param current the map in use
   * @param demand tokens by set and expert
   * @param slowness time that each rank takes for a token, 1 for the usual time
   * @param limits what the plan has to keep
   * @return the plan, or empty when no change gains enough
   */
  public static Optional<Plan> plan(
      GroupMap current, double[][] demand, double[] slowness, PlacementLimits limits) {
    int ranks = current.ranks();
    int[][][] experts = current.experts();
    int[] fetchedByRank = new int[ranks];
    double total =
        IntStream.range(0, demand.length)
            .mapToDouble(set -> Arrays.stream(demand[set]).sum())
            .sum();
    if (total <= 0) {
      return Optional.empty();
    }
    double leastGain = limits.leastGain() * total / ranks;
    SetPlan[] sets =
        IntStream.range(0, experts.length)
            .mapToObj(
                set -> new SetPlan(experts[set], demand[set], slowness, limits, fetchedByRank))
            .toArray(SetPlan[]::new);
    int fetches = 0;
    boolean isChanged = false;
    boolean moved = true;
    while (moved) {
      Optional<SetPlan> best =
          IntStream.range(0, sets.length)
              .mapToObj(set -> sets[set])
              .filter(set -> set.best(HEAVY_RANKS_TRIED).gain() > leastGain)
              .max(Comparator.comparingDouble(set -> set.best(HEAVY_RANKS_TRIED).gain()));
      moved = best.isPresent();
      isChanged |= moved;
      fetches +=
          best.filter(set -> set.needsFetch(set.best(HEAVY_RANKS_TRIED))).isPresent() ? 1 : 0;
      best.ifPresent(SetPlan::applyBest);
    }
    if (!isChanged) {
      return Optional.empty();
    }
    GroupMap map = GroupMap.of(Arrays.stream(sets).map(SetPlan::experts).toArray(int[][][]::new));
    return Optional.of(
        new Plan(map, fetches, current.skew(demand, slowness), map.skew(demand, slowness)));
  }
}
