package dev.ibishub.core;

/**
 * Bounds and aim of a {@link ConcurrencyLimit}.
 *
 * @param minimum the limit never falls below it, at least 1
 * @param initial the limit at the start
 * @param maximum the limit never grows above it
 * @param targetSecondsPerToken time per token that is always good enough; zero where the only
 *     measure is the target's own best time
 * @param tolerance how many times its own best time per token a target may take before the limit
 *     falls, at least 1
 * @param reserved places above the limit that only urgent work may take
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

  /** Options for a model engine whose callers accept 27 ms between tokens. */
  public static ConcurrencyLimitOptions defaults() {
    return new ConcurrencyLimitOptions(2, 16, 256, 0.025, 2, 6);
  }
}
