package dev.ibishub.core;

import dev.ibishub.core.internal.experts.LayerLoad;
import java.time.Instant;
import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Plans the next expert map of a group from the popularity of the experts and the measured speed of
 * the ranks. It moves and replicates experts one by one, the most time gained for each expert
 * fetched first, so that few bytes are moved. Thread-safe: it keeps nothing between plans.
 *
 * <pre>{@code
 * ExpertPlanner planner = ExpertPlanner.create(ExpertPlannerOptions.preferringEvenSteps());
 * planner.plan(map, popularity, slowness, quietUntil, now).ifPresent(plan -> offer(plan.map()));
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
   * A plan.
   *
   * @param map the next map
   * @param fetches how many experts ranks must fetch for it
   * @param skewBefore times the ideal that a step takes now
   * @param skewAfter times the ideal that it will take
   */
  public record Plan(ExpertMap map, long fetches, double skewBefore, double skewAfter) {}

  private record Candidate(LayerLoad layer, LayerLoad.Move move) {}

  /**
   * Plans, if it is worth it.
   *
   * @param map the map in use
   * @param popularity tokens a step, by layer and expert
   * @param slowness time for each token, by rank
   * @param quietUntil until when no rebalance may start because a deadline would be endangered
   * @param now the time
   * @return a plan, or empty when the map is to stay
   */
  public Optional<Plan> plan(
      ExpertMap map, double[][] popularity, double[] slowness, Instant quietUntil, Instant now) {
    if (now.isBefore(quietUntil)) {
      return Optional.empty();
    }
    short[] experts = map.copyOfExperts();
    PriorityQueue<Candidate> candidates =
        new PriorityQueue<>(Comparator.comparingDouble(next -> -next.move().gainPerFetch()));
    double ideal = 0;
    double step = 0;
    for (int layer = 0; layer < map.layers(); layer++) {
      LayerLoad load = new LayerLoad(experts, layer, map.slots(), popularity[layer], slowness);
      ideal += load.ideal();
      step += load.slowest();
      load.bestMove().ifPresent(move -> candidates.add(new Candidate(load, move)));
    }
    if (ideal == 0 || step / ideal < options.startSkew()) {
      return Optional.empty();
    }
    improve(candidates, step, ideal);
    ExpertMap next = ExpertMap.of(map.layers(), map.ranks(), map.slots(), experts);
    long fetches = next.fetchesFrom(map);
    return fetches == 0
        ? Optional.empty()
        : Optional.of(new Plan(next, fetches, step / ideal, skew(next, popularity, slowness)));
  }

  private void improve(PriorityQueue<Candidate> candidates, double step, double ideal) {
    double left = step;
    int fetches = 0;
    while (!candidates.isEmpty() && left / ideal > options.stopSkew()) {
      Candidate best = candidates.poll();
      boolean worth = best.move().gainPerFetch() >= options.minimumGainPerExpert() * step;
      if (!worth || fetches + best.move().fetches() > options.maximumFetches()) {
        break;
      }
      best.layer().apply(best.move());
      left -= best.move().gain();
      fetches += best.move().fetches();
      best.layer().bestMove().ifPresent(move -> candidates.add(new Candidate(best.layer(), move)));
    }
  }

  /**
   * Measures a map.
   *
   * @param map the map
   * @param popularity tokens a step, by layer and expert
   * @param slowness time for each token, by rank
   * @return times the ideal that a step takes, 1 at the best
   */
  public static double skew(ExpertMap map, double[][] popularity, double[] slowness) {
    short[] experts = map.copyOfExperts();
    double ideal = 0;
    double step = 0;
    for (int layer = 0; layer < map.layers(); layer++) {
      LayerLoad load = new LayerLoad(experts, layer, map.slots(), popularity[layer], slowness);
      ideal += load.ideal();
      step += load.slowest();
    }
    return ideal == 0 ? 1 : step / ideal;
  }
}
