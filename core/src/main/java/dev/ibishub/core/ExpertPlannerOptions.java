package dev.ibishub.core;

/**
 * Trade-off between step-time skew and the cost of a rebalance.
 *
 * @param startSkew skew, as a multiple of the ideal step time, from which on a plan is made
 * @param stopSkew skew at which a plan moves no further experts; the gap to {@code startSkew} is
 *     the hysteresis
 * @param minimumGainPerExpert minimum gain of one expert fetch as a fraction of the step time: low
 *     to favor even steps, high to favor few fetches
 * @param maximumFetches maximum number of experts fetched for one plan
 */
public record ExpertPlannerOptions(
    double startSkew, double stopSkew, double minimumGainPerExpert, int maximumFetches) {
  /** Checks that {@code 1 <= stopSkew <= startSkew} and that {@code maximumFetches} is positive. */
  public ExpertPlannerOptions {
    if (startSkew < stopSkew || stopSkew < 1 || maximumFetches < 1) {
      throw new IllegalArgumentException("1 <= stopSkew <= startSkew and maximumFetches >= 1");
    }
  }

  /** Returns options for short calls, where a slow step is noticed at once. */
  public static ExpertPlannerOptions preferringEvenSteps() {
    return new ExpertPlannerOptions(1.06, 1.03, 1e-5, 4000);
  }

  /** Returns options for long batches, which a rebalance can delay. */
  public static ExpertPlannerOptions preferringFewMoves() {
    return new ExpertPlannerOptions(1.15, 1.08, 1e-4, 1000);
  }
}
