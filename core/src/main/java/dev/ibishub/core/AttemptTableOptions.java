package dev.ibishub.core;

import java.time.Duration;

/**
 * Bounds of an {@link AttemptTable}.
 *
 * @param shards how many locks the table has; a power of two
 * @param maximumAttempts the most attempts and tombstones kept
 * @param longestDeadline how far ahead a deadline may lie when an attempt is offered
 * @param clockSkew the most that the clocks of two processes differ, and the most that a clock is
 *     ever set back
 */
public record AttemptTableOptions(
    int shards, int maximumAttempts, Duration longestDeadline, Duration clockSkew) {
  /** Checks the bounds. */
  public AttemptTableOptions {
    if (Integer.bitCount(shards) != 1) {
      throw new IllegalArgumentException("shards must be a power of two, not " + shards);
    }
    if (maximumAttempts < shards) {
      throw new IllegalArgumentException("maximumAttempts must be at least one for each shard");
    }
    if (longestDeadline.isNegative() || longestDeadline.isZero() || clockSkew.isNegative()) {
      throw new IllegalArgumentException(
          "longestDeadline must be positive, clockSkew not negative");
    }
  }

  /** Returns the bounds for one target's agent: 16 shards, 65,536 attempts, 1 hour, 5 seconds. */
  public static AttemptTableOptions defaults() {
    return new AttemptTableOptions(16, 65_536, Duration.ofHours(1), Duration.ofSeconds(5));
  }
}
