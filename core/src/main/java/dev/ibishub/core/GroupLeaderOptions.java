package dev.ibishub.core;

import java.time.Duration;

/**
 * Timeouts and margins of a {@link GroupLeader}.
 *
 * @param retryAfter time without a reply after which a command is retransmitted
 * @param pollAfter interval at which ranks are polled while one waits for the others
 * @param refreshAfter interval at which the states of the ranks are refreshed while no switch is in
 *     progress
 * @param holdTimeout time within which all ranks must hold, else the switch is abandoned
 * @param minimumLeadSteps minimum number of steps between the newest step reported and the held one
 */
public record GroupLeaderOptions(
    Duration retryAfter,
    Duration pollAfter,
    Duration refreshAfter,
    Duration holdTimeout,
    int minimumLeadSteps) {
  /** Number of map versions available to one epoch. */
  public static final long MAPS_PER_EPOCH = 1L << 16;

  /** Checks that {@code retryAfter} and {@code minimumLeadSteps} are positive. */
  public GroupLeaderOptions {
    if (retryAfter.isNegative() || retryAfter.isZero() || minimumLeadSteps < 1) {
      throw new IllegalArgumentException("retryAfter and minimumLeadSteps must be positive");
    }
  }

  /** Returns options for ranks 1 to 2 ms away and steps of 5 ms. */
  public static GroupLeaderOptions defaults() {
    return new GroupLeaderOptions(
        Duration.ofMillis(200),
        Duration.ofMillis(20),
        Duration.ofSeconds(1),
        Duration.ofSeconds(2),
        4);
  }
}
