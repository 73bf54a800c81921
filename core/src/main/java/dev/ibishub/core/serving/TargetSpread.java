package dev.ibishub.core.serving;

import java.util.Arrays;
import java.util.stream.IntStream;

/**
 * A rule by which the entries spread requests over targets of different cost. Each entry applies it
 * for itself, to reports that are some hundred milliseconds old. Implementations are stateless.
 *
 * <pre>{@code
 * int index = TargetSpread.levelling(random.nextDouble()).pick(costs, unreportedByOthers);
 * }</pre>
 */
@FunctionalInterface
public interface TargetSpread {
  /**
   * Picks a target.
   *
   * @param costs the cost of each target, in requests; not empty
   * @param unreportedByOthers requests that the other entries have probably sent to these targets
   *     since their reports, 0 or more
   * @return an index into {@code costs}
   */
  int pick(double[] costs, double unreportedByOthers);

  /**
   * Returns the rule that takes the first target whose cost is near the lowest, whatever the other
   * entries have sent.
   *
   * @param tolerance how far above the lowest cost a target may be, in requests
   */
  static TargetSpread nearLowest(double tolerance) {
    return (costs, unreportedByOthers) -> {
      double lowest = Arrays.stream(costs).min().orElseThrow();
      return IntStream.range(0, costs.length)
          .filter(index -> costs[index] < lowest + tolerance)
          .findFirst()
          .orElseThrow();
    };
  }

  /**
   * Returns the rule that fills the targets up to a common level. If all requests that the entries
   * send between two reports are distributed in proportion to what each target lacks to that level,
   * the targets are equally loaded afterwards. Entries that all took the lowest cost would instead
   * overload the few targets that were idle in the last reports.
   *
   * @param point a random number from 0 to below 1, uniformly distributed
   */
  static TargetSpread levelling(double point) {
    return (costs, unreportedByOthers) -> {
      double arrivals = 1 + unreportedByOthers;
      double level = level(costs, arrivals);
      double remaining = point * arrivals;
      int last = 0;
      for (int index = 0; index < costs.length; index++) {
        double share = level - costs[index];
        if (share <= 0) {
          continue;
        }
        last = index;
        remaining -= share;
        if (remaining < 0) {
          return index;
        }
      }
      return last;
    };
  }

  /** Returns the level at which the targets take the arrivals in sum, in requests. */
  private static double level(double[] costs, double arrivals) {
    double[] ascending = costs.clone();
    Arrays.sort(ascending);
    double sum = ascending[0];
    int filled = 1;
    while (filled < ascending.length && (arrivals + sum) / filled > ascending[filled]) {
      sum += ascending[filled];
      filled++;
    }
    return (arrivals + sum) / filled;
  }
}
