package dev.ibishub.core;

/**
 * When an {@link Admission} sheds work.
 *
 * @param longestWaitSeconds estimated wait above which work of priority 0 is shed
 * @param burstSeconds how many seconds of its limit a workspace may use at once
 */
public record AdmissionOptions(double longestWaitSeconds, double burstSeconds) {
  /** Checks the ranges; fails with {@link IllegalArgumentException}. */
  public AdmissionOptions {
    if (!(longestWaitSeconds > 0) || !(burstSeconds > 0)) {
      throw new IllegalArgumentException(
          "longestWaitSeconds and burstSeconds must be above zero: %s, %s"
              .formatted(longestWaitSeconds, burstSeconds));
    }
  }

  /** The options that docs/MEASUREMENTS.md was measured with. */
  public static AdmissionOptions defaults() {
    return new AdmissionOptions(10, 1);
  }
}
