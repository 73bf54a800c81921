package dev.ibishub.core;

import java.time.Duration;

/**
 * Times and margins of a {@link GroupLeader}.
 *
 * @param retryAfter how long to wait for an answer before the same command goes out again
 * @param pollAfter how often ranks are asked anew while one waits for the others
 * @param refreshAfter how often the ranks' state is read while nothing else is to be done
 * @param holdFor how long all holds may take before the switch is given up
 * @param minimumLeadSteps at least how many steps ahead a hold is placed
 */
public record GroupLeaderOptions(
    Duration retryAfter,
    Duration pollAfter,
    Duration refreshAfter,
    Duration holdFor,
    int minimumLeadSteps) {
  /** How many maps one epoch can number. */
  public static final long MAPS_AN_EPOCH = 1L << 16;

  /** Checks that times and margins are positive. */
  public GroupLeaderOptions {
    if (retryAfter.isNegative() || retryAfter.isZero() || minimumLeadSteps < 1) {
      throw new IllegalArgumentException("retryAfter and minimumLeadSteps must be positive");
    }
  }

  /** Returns the options for ranks one or two milliseconds away and steps of five. */
  public static GroupLeaderOptions defaults() {
    return new GroupLeaderOptions(
        Duration.ofMillis(200),
        Duration.ofMillis(20),
        Duration.ofSeconds(1),
        Duration.ofSeconds(2),
        4);
  }
}
