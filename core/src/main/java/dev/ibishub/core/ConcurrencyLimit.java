package dev.ibishub.core;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;

/**
 * How much work one target runs at the same time, adapted to the time per token that it shows: the
 * limit grows while that time is good and the limit is used, and falls in proportion once it is
 * not. Thread-safe by one lock.
 */
public final class ConcurrencyLimit {
  private static final double SMOOTHING = 0.1;
  private static final double BASELINE_DRIFT = 0.001;
  private static final double LARGEST_FALL = 0.5;
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

  /** Pieces of work that may run at the same time. */
  public synchronized int limit() {
    return (int) limit;
  }

  /** Pieces of work that run. */
  public synchronized int running() {
    return running;
  }

  /**
   * Takes a place. Whoever gets one gives it back by {@link #release}.
   *
   * @return false when the limit is reached
   */
  public synchronized boolean tryAcquire() {
    if (running >= (int) limit) {
      return false;
    }
    running++;
    return true;
  }

  /**
   * Takes a place for urgent work, which may use a few places above the limit. A workspace that
   * uses less than its share then need not wait for a long answer of another to end.
   *
   * @return false when those places are taken too
   */
  public synchronized boolean tryAcquireReserved() {
    if (running >= (int) limit + options.reserved()) {
      return false;
    }
    running++;
    return true;
  }

  /**
   * Gives a place back and learns from the work that had it.
   *
   * @param sample what the work took
   */
  public synchronized void release(Sample sample) {
    boolean limitWasUsed = 2 * running >= limit;
    running = Math.max(0, running - 1);
    if (sample.failed()) {
      moveTo(limit * LARGEST_FALL);
      return;
    }
    if (sample.tokens() <= 0) {
      return;
    }
    learn(sample.secondsPerToken());
    double good =
        Math.max(options.targetSecondsPerToken(), options.tolerance() * bestSecondsPerToken);
    double gradient = Math.max(LARGEST_FALL, Math.min(1, good / secondsPerToken));
    if (gradient < 1) {
      moveTo(limit * gradient);
    } else if (limitWasUsed) {
      moveTo(limit + Math.sqrt(limit));
    }
  }

  private void learn(double sampled) {
    if (secondsPerToken == 0) {
      secondsPerToken = sampled;
      bestSecondsPerToken = sampled;
      return;
    }
    secondsPerToken += SMOOTHING * (sampled - secondsPerToken);
    // The best time drifts up, or else a target that got slower for good is throttled for ever.
    bestSecondsPerToken =
        Math.min(sampled, bestSecondsPerToken + BASELINE_DRIFT * (sampled - bestSecondsPerToken));
  }

  private void moveTo(double aim) {
    double moved = limit + LIMIT_SMOOTHING * (aim - limit);
    limit = Math.max(options.minimum(), Math.min(options.maximum(), moved));
  }

  /**
   * What one piece of work took at the target.
   *
   * @param startedAt when the target got it
   * @param finishedAt when it ended
   * @param tokens that it produced; 1 for a call of a plain service, 0 to learn nothing from it
   * @param failed whether the target failed it by a timeout or because it was overloaded
   */
  public record Sample(Instant startedAt, Instant finishedAt, double tokens, boolean failed) {
    /** Checks that the times are given. */
    public Sample {
      Objects.requireNonNull(startedAt, "startedAt");
      Objects.requireNonNull(finishedAt, "finishedAt");
    }

    private double secondsPerToken() {
      return Math.max(1e-9, Duration.between(startedAt, finishedAt).toNanos() / 1e9 / tokens);
    }
  }
}
