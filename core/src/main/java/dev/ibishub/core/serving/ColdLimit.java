package dev.ibishub.core.serving;

/**
 * How many requests a cold target may get from all entries together.
 *
 * @param requestsPerSecond requests a second that it tolerates, more than 0
 * @param overrun factor by which any one second may exceed that, 1 or more
 * @param slack requests that any one second may have beyond that, 0 or more
 */
public record ColdLimit(double requestsPerSecond, double overrun, double slack) {
  /**
   * Number of groups of entries without contact of any kind that together stay within the bound. A
   * group that does not even know that the others exist divides the whole limit among itself.
   */
  private static final int TOLERATED_PARTS = 2;

  /** Checks the ranges. */
  public ColdLimit {
    if (!(requestsPerSecond > 0) || !(overrun >= 1) || !(slack >= 0)) {
      throw new IllegalArgumentException(
          "limit of a cold target: expected a rate above 0, an overrun of 1 or more and a slack of"
              + " 0 or more, was %s, %s and %s".formatted(requestsPerSecond, overrun, slack));
    }
  }

  /** Returns the most requests that the target may get in any one second. */
  public double maximumInAnySecond() {
    return Math.floor(requestsPerSecond * overrun + slack);
  }

  /**
   * Returns the rate to divide among the entries, requests a second: what the target tolerates, but
   * at most the part of the bound that leaves room for a second group of entries that divides the
   * same. A bound of a single request leaves no such room; one of none allows no request.
   */
  public double dividedRequestsPerSecond() {
    double maximum = maximumInAnySecond();
    return maximum < 1 ? 0 : Math.min(requestsPerSecond, Math.max(1, maximum / TOLERATED_PARTS));
  }
}
