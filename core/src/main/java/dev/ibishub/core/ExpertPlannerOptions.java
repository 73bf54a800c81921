package dev.ibishub.core;

/**
 * How a site weighs step-time skew against the cost of a rebalance.
 *
 * @param startSkew a plan is made only when the step takes this many times the ideal or more
 * @param stopSkew and moves experts until it takes this many times the ideal or less
 * @param minimumGainPerExpert the least part of the step's time that the fetch of one expert must
 *     gain: low where skew weighs more, high where the cost does
 * @param maximumFetches the most experts fetched for one plan
 */
public record ExpertPlannerOptions(
    double startSkew, double stopSkew, double minimumGainPerExpert, int maximumFetches) {
  /** Checks that the hysteresis has a width. */
  public ExpertPlannerOptions {
    if (startSkew < stopSkew || stopSkew < 1 || maximumFetches < 1) {
      throw new IllegalArgumentException("1 <= stopSkew <= startSkew and maximumFetches >= 1");
    }
  }

  /** Returns the weights of a site whose calls are short, so that a slow step is felt at once. */
  public static ExpertPlannerOptions preferringEvenSteps() {
    return new ExpertPlannerOptions(1.06, 1.03, 1e-5, 4000);
  }

  /** Returns the weights of a site with long batches, which a rebalance can delay. */
  public static ExpertPlannerOptions preferringFewMoves() {
    return new ExpertPlannerOptions(1.15, 1.08, 1e-4, 1000);
  }
}
