package dev.ibishub.core.serving;

/**
 * The limits of a {@link SharedRetryBudget}.
 *
 * @param retriesPerRequest retries allowed for each request, 0 to 1
 * @param sharedAllowance further retries in each window, for all entries together
 * @param windowMillis length of the sliding window, milliseconds
 */
public record RetryLimits(double retriesPerRequest, double sharedAllowance, long windowMillis) {
  /** Checks that no limit is negative and the window is not empty. */
  public RetryLimits {
    if (retriesPerRequest < 0 || sharedAllowance < 0 || windowMillis < 1) {
      throw new IllegalArgumentException(
          "need retriesPerRequest >= 0, sharedAllowance >= 0 and windowMillis >= 1, was %s, %s, %d"
              .formatted(retriesPerRequest, sharedAllowance, windowMillis));
    }
  }
}
