package dev.ibishub.core;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;

/**
 * Adaptive limit on the work that one target runs concurrently, controlled by the time per token:
 * the limit grows while that time is acceptable and the limit is used, and falls in proportion to
 * the excess otherwise. Thread-safe by one lock.
 */
public final class ConcurrencyLimit {
  /** Weight of a new sample in the moving average of seconds per token. */
  private static final double SMOOTHING = 0.1;

  /** Fraction of the distance to a slower sample by which the best time per token rises. */
  private static final double BASELINE_DRIFT = 0.001;

  /**
   * Smallest factor by which one sample may reduce the goal for the limit, also used after a
   * failure.
   */
  private static final double MINIMUM_GRADIENT = 0.5;

  /** Fraction of the distance to the goal by which the limit moves for one sample. */
  private static final double LIMIT_SMOOTHING = 0.2;

  private final ConcurrencyLimitOptions options;
  private double limit;
  private int running;
  private double secondsPerToken;
  private double bestSecondsPerToken;

  private ConcurrencyLimit(ConcurrencyLimitOptions options) {
    this.options = options;
    this.limit = options.initial();
  }

  /** Creates a limit with nothing running. */
  public static ConcurrencyLimit create(ConcurrencyLimitOptions options) {
    return new ConcurrencyLimit(options);
  }

  /** Returns the number of items of work that may run concurrently. */
  public synchronized int limit() {
    return (int) limit;
  }

  /** Returns the number of items of work that are running. */
  public synchronized int running() {
    return running;
  }

  /**
   * Acquires a permit, which must be returned by {@link #release}.
   *
   * @return false if the limit is reached
   */
  public synchronized boolean tryAcquire() {
    if (running >= (int) limit) {
      return false;
    }
    running++;
    return true;
  }

  /**
   * Acquires a permit for urgent work, which may use a few reserved permits above the limit. A
   * workspace that uses less than its share then need not wait for a long answer of another to end.
   *
   * @return false if the reserved permits are in use too
   */
  public synchronized boolean tryAcquireReserved() {
    if (running >= (int) limit + options.reserved()) {
      return false;
    }
    running++;
    return true;
  }

  /**
   * Returns a permit and adapts the limit to the work that held it.
   *
   * @param sample duration and tokens of that work
   */
  public synchronized void release(Sample sample) {
    boolean limitWasUsed = 2 * running >= limit;
    running = Math.max(0, running - 1);
    if (sample.failed()) {
      moveTowards(limit * MINIMUM_GRADIENT);
      return;
    }
    if (sample.tokens() <= 0) {
      return;
    }
    updateEstimates(sample.secondsPerToken());
    double acceptable =
        Math.max(options.targetSecondsPerToken(), options.tolerance() * bestSecondsPerToken);
    double gradient = Math.max(MINIMUM_GRADIENT, Math.min(1, acceptable / secondsPerToken));
    if (gradient < 1) {
      moveTowards(limit * gradient);
    } else if (limitWasUsed) {
      moveTowards(limit + Math.sqrt(limit));
    }
  }

  private void updateEstimates(double sampledSecondsPerToken) {
    if (secondsPerToken == 0) {
      secondsPerToken = sampledSecondsPerToken;
      bestSecondsPerToken = sampledSecondsPerToken;
      return;
    }
    secondsPerToken += SMOOTHING * (sampledSecondsPerToken - secondsPerToken);
    // The best time drifts up; otherwise a target that has become slower for good would be
    // throttled for ever.
    bestSecondsPerToken =
        Math.min(
            sampledSecondsPerToken,
            bestSecondsPerToken + BASELINE_DRIFT * (sampledSecondsPerToken - bestSecondsPerToken));
  }

  private void moveTowards(double goal) {
    double moved = limit + LIMIT_SMOOTHING * (goal - limit);
    limit = Math.max(options.minimum(), Math.min(options.maximum(), moved));
  }

  /**
   * Duration and size of one item of work at the target.
   *
   * @param startedAt when the target received it
   * @param finishedAt when it ended
   * @param tokens tokens that it produced; 1 for a call of a plain service, 0 to leave the limit as
   *     it is
   * @param failed whether it failed by a timeout or because the target was overloaded
   */
  public record Sample(Instant startedAt, Instant finishedAt, double tokens, boolean failed) {
    /** Checks that the times are not null. */
    public Sample {
      Objects.requireNonNull(startedAt, "startedAt");
      Objects.requireNonNull(finishedAt, "finishedAt");
    }

    private double secondsPerToken() {
      return Math.max(1e-9, Duration.between(startedAt, finishedAt).toNanos() / 1e9 / tokens);
    }
  }
}
