package dev.ibishub.core;

/**
 * Limits of a workspace.
 *
 * @param requestsPerSecond requests a second over all entries together; infinite for no limit
 * @param tokensPerSecond tokens a second over all entries together; infinite for no limit
 * @param concurrent requests in flight at one entry
 * @param weight share relative to other workspaces under contention
 */
public record WorkspaceLimits(
    double requestsPerSecond, double tokensPerSecond, int concurrent, double weight) {
  /** Checks the ranges; fails with {@link IllegalArgumentException}. */
  public WorkspaceLimits {
    if (!(requestsPerSecond > 0) || !(tokensPerSecond > 0) || concurrent < 1 || !(weight > 0)) {
      throw new IllegalArgumentException(
          "limits and weight must be above zero: %s, %s, %d, %s"
              .formatted(requestsPerSecond, tokensPerSecond, concurrent, weight));
    }
  }

  /** Returns limits that allow everything, with weight 1. */
  public static WorkspaceLimits unlimited() {
    return new WorkspaceLimits(
        Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, Integer.MAX_VALUE, 1);
  }
}
