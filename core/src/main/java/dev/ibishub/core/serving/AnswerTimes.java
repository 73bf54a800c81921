package dev.ibishub.core.serving;

import java.util.Arrays;
import java.util.OptionalLong;

/**
 * Tracks how long one service's successful answers take at this entry, and derives the hedging
 * delay: how long to wait for a silent target before the request is also sent to a second one.
 * Thread-safe by one lock.
 *
 * <p>Without hedging, a target that accepts requests and never answers costs the caller the whole
 * timeout of the route. A hedge that is sent too early doubles the load for nothing; one that is
 * sent too late can't meet the latency objective either.
 */
public final class AnswerTimes {
  /** Number of latest answers that are kept. */
  private static final int WINDOW_SIZE = 64;

  /** Answers needed before the delay is derived from them. */
  private static final int MINIMUM_SAMPLES = 8;

  /** Share of the answers that must have arrived before a hedge is sent: all but 1 in 20. */
  private static final double HEDGE_QUANTILE = 0.95;

  private final long[] latestMillis = new long[WINDOW_SIZE];
  private long sampleCount;

  /** Records a successful answer that took this many milliseconds. */
  public synchronized void onSuccess(long millis) {
    latestMillis[(int) (sampleCount % WINDOW_SIZE)] = millis;
    sampleCount++;
  }

  /**
   * Returns the hedging delay in milliseconds, counted from the send. It is the latest time at
   * which a median answer of the second target would still meet the objective, but at least the
   * 95th percentile of the answers. With too few answers it is half of the objective, or empty
   * without an objective.
   *
   * @param latencyObjectiveMillis the latency objective of the route, milliseconds; 0 for none
   */
  public synchronized OptionalLong hedgeDelayMillis(long latencyObjectiveMillis) {
    if (sampleCount < MINIMUM_SAMPLES) {
      return latencyObjectiveMillis > 0
          ? OptionalLong.of(latencyObjectiveMillis / 2)
          : OptionalLong.empty();
    }
    long[] sorted = Arrays.copyOf(latestMillis, (int) Math.min(sampleCount, WINDOW_SIZE));
    Arrays.sort(sorted);
    long median = sorted[sorted.length / 2];
    long hedgeQuantile = sorted[(int) (sorted.length * HEDGE_QUANTILE)];
    return OptionalLong.of(Math.max(hedgeQuantile, latencyObjectiveMillis - median));
  }
}
