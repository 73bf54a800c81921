package dev.ibishub.core;

import dev.ibishub.core.internal.experts.LayerLoad;
import java.time.Instant;
import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Plans the next expert map of a group from the popularity of the experts and the measured slowness
 * of the ranks. It moves and replicates single experts, those with the largest gain in time per
 * fetch first, so that little data is transferred. Stateless and thread-safe. It is used when
 * ibishub runs behind its own interface; {@code dev.ibishub.core.ranks.PlacementPlanner} is its
 * counterpart on the platform of its users.
 *
 * <pre>{@code
 * ExpertPlanner planner = ExpertPlanner.create(ExpertPlannerOptions.preferringEvenSteps());
 * planner
 *     .plan(map, popularity, slowness, noRebalanceBefore, now)
 *     .ifPresent(plan -> offer(plan.map()));
 * }</pre>
 */
public final class ExpertPlanner {
  private final ExpertPlannerOptions options;

  private ExpertPlanner(ExpertPlannerOptions options) {
    this.options = options;
  }

  public static ExpertPlanner create(ExpertPlannerOptions options) {
    return new ExpertPlanner(options);
  }

  /**
   * Planned map.
   *
   * @param map the next map
   * @param fetches number of experts that ranks must fetch for it
   * @param skewBefore duration of a step with the current map, as a multiple of the ideal
   * @param skewAfter expected duration of a step with the planned map, as a multiple of the ideal
   */
  public record Plan(ExpertMap map, long fetches, double skewBefore, double skewAfter) {}

  private record Candidate(LayerLoad layer, LayerLoad.Move move) {}

  /**
   * Plans the next map if a rebalance is worthwhile.
   *
   * @param map the map in use
   * @param popularity tokens in a step, by layer and expert
   * @param slowness relative time for a token, by rank
   * @param noRebalanceBefore time before which no rebalance may start, because it would endanger a
   *     deadline
   * @param now the current time
   * @return the plan, or empty to keep the current map
   */
  public Optional<Plan> plan(
      ExpertMap map,
      double[][] popularity,
      double[] slowness,
      Instant noRebalanceBefore,
      Instant now) {
    if (now.isBefore(noRebalanceBefore)) {
      return Optional.empty();
    }
    short[] experts = map.copyOfExperts();
    PriorityQueue<Candidate> candidates =
        new PriorityQueue<>(
            Comparator.comparingDouble(candidate -> -candidate.move().gainPerFetch()));
    double idealTime = 0;
    double stepTime = 0;
    for (int layer = 0; layer < map.layers(); layer++) {
      LayerLoad load = new LayerLoad(experts, layer, map.slots(), popularity[layer], slowness);
      idealTime += load.idealTime();
      stepTime += load.slowestTime();
      load.bestMove().ifPresent(move -> candidates.add(new Candidate(load, move)));
    }
    if (idealTime == 0 || stepTime / idealTime < options.startSkew()) {
      return Optional.empty();
    }
    applyBestMoves(candidates, stepTime, idealTime);
    ExpertMap next = ExpertMap.of(map.layers(), map.ranks(), map.slots(), experts);
    long fetches = next.fetchesFrom(map);
    return fetches == 0
        ? Optional.empty()
        : Optional.of(
            new Plan(next, fetches, stepTime / idealTime, skew(next, popularity, slowness)));
  }

  private void applyBestMoves(
      PriorityQueue<Candidate> candidates, double stepTime, double idealTime) {
    double remainingTime = stepTime;
    int fetches = 0;
    while (!candidates.isEmpty() && remainingTime / idealTime > options.stopSkew()) {
      Candidate best = candidates.poll();
      boolean isWorthwhile =
          best.move().gainPerFetch() >= options.minimumGainPerExpert() * stepTime;
      if (!isWorthwhile || fetches + best.move().fetches() > options.maximumFetches()) {
        break;
      }
      best.layer().apply(best.move());
      remainingTime -= best.move().gain();
      fetches += best.move().fetches();
      best.layer().bestMove().ifPresent(move -> candidates.add(new Candidate(best.layer(), move)));
    }
  }

  /**
   * Returns the skew of a map.
   *
   * @param map the map
   * @param popularity tokens in a step, by layer and expert
   * @param slowness relative time for a token, by rank
   * @return duration of a step as a multiple of the ideal; 1 for a perfect balance
   */
  public static double skew(ExpertMap map, double[][] popularity, double[] slowness) {
    short[] experts = map.copyOfExperts();
    double idealTime = 0;
    double stepTime = 0;
    for (int layer = 0; layer < map.layers(); layer++) {
      LayerLoad load = new LayerLoad(experts, layer, map.slots(), popularity[layer], slowness);
      idealTime += load.idealTime();
      stepTime += load.slowestTime();
    }
    return idealTime == 0 ? 1 : stepTime / idealTime;
  }
}
