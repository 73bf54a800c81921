package dev.ibishub.core;

/**
 * What a workspace may use over all entries together.
 *
 * @param requestsPerSecond requests a second; infinite for no limit
 * @param tokensPerSecond tokens a second; infinite for no limit
 * @param concurrent requests at the same time at one entry
 * @param weight share against other workspaces when there is not enough for all
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

  /** No limit and weight 1. */
  public static WorkspaceLimits unlimited() {
    return new WorkspaceLimits(
        Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, Integer.MAX_VALUE, 1);
  }
}
