package dev.ibishub.core.serving;

/**
 * How much may be retried.
 *
 * @param retriesPerRequest retries that each request earns, 0 to 1
 * @param sharedAllowance retries in a window that all entries together have besides
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
