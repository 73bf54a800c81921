package dev.ibishub.core;

/**
 * Bounds and target latency of a {@link ConcurrencyLimit}.
 *
 * @param minimum lowest limit, at least 1
 * @param initial limit at the start
 * @param maximum highest limit
 * @param targetSecondsPerToken time per token that is always acceptable; zero to compare with the
 *     target's own best time only
 * @param tolerance multiple of its own best time per token that a target may take before the limit
 *     falls, at least 1
 * @param reserved number of permits above the limit that only urgent work may acquire
 */
public record ConcurrencyLimitOptions(
    int minimum,
    int initial,
    int maximum,
    double targetSecondsPerToken,
    double tolerance,
    int reserved) {
  /** Checks the ranges; fails with {@link IllegalArgumentException}. */
  public ConcurrencyLimitOptions {
    if (minimum < 1 || initial < minimum || maximum < initial || reserved < 0) {
      throw new IllegalArgumentException(
          "need 1 <= minimum <= initial <= maximum and reserved >= 0, was %d, %d, %d, %d"
              .formatted(minimum, initial, maximum, reserved));
    }
    if (!(targetSecondsPerToken >= 0) || !(tolerance >= 1)) {
      throw new IllegalArgumentException(
          "need targetSecondsPerToken >= 0 and tolerance >= 1, was %s, %s"
              .formatted(targetSecondsPerToken, tolerance));
    }
  }

  /**
   * Returns the options for a model engine whose callers accept 27 ms between tokens: a limit of 16
   * at the start and from 2 to 256 later, 25 ms a token, a tolerance of 2 and 6 reserved permits.
   */
  public static ConcurrencyLimitOptions defaults() {
    return new ConcurrencyLimitOptions(2, 16, 256, 0.025, 2, 6);
  }
}
