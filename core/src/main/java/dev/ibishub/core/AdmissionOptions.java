package dev.ibishub.core;

/**
 * Thresholds at which an {@link Admission} sheds work.
 *
 * @param longestWaitSeconds estimated wait above which work of priority 0 is shed
 * @param burstSeconds number of seconds of its rate limit that a workspace may use at once
 * @param waitMargin factor by which the estimated wait is multiplied before it is compared with a
 *     deadline, at least 1; a request that is admitted and then misses its deadline has cost its
 *     caller the whole wait
 */
public record AdmissionOptions(double longestWaitSeconds, double burstSeconds, double waitMargin) {
  /** Checks the ranges; fails with {@link IllegalArgumentException}. */
  public AdmissionOptions {
    if (!(longestWaitSeconds > 0) || !(burstSeconds > 0) || !(waitMargin >= 1)) {
      throw new IllegalArgumentException(
          "longestWaitSeconds and burstSeconds must be above zero, waitMargin 1 or more: %s, %s, %s"
              .formatted(longestWaitSeconds, burstSeconds, waitMargin));
    }
  }

  /**
   * Returns the default options: a wait of 10 seconds, a burst of 1 second and a wait margin of 2.
   */
  public static AdmissionOptions defaults() {
    return new AdmissionOptions(10, 1, 2);
  }
}
