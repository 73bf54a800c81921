package dev.ibishub.core;

import java.time.Duration;

/**
 * Bounds of an {@link AttemptTable}.
 *
 * @param shards number of shards, each with its own lock; a power of two
 * @param maximumAttempts maximum number of attempts and tombstones kept
 * @param longestDeadline how far ahead the deadline of an offered attempt may lie
 * @param clockSkew largest difference between the clocks of two processes, and the most by which a
 *     clock is ever set back
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
