package dev.ibishub.core;

/**
 * When an {@link Admission} sheds work.
 *
 * @param longestWaitSeconds estimated wait above which work of priority 0 is shed
 * @param burstSeconds how many seconds of its limit a workspace may use at once
 * @param waitMargin factor on the estimated wait when it is held against a deadline, at least 1;
 *     work that is let in and then runs out of time has cost its caller the whole wait
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

  /** The options that docs/MEASUREMENTS.md was measured with. */
  public static AdmissionOptions defaults() {
    return new AdmissionOptions(10, 1, 2);
  }
}
