package dev.ibishub.core.entries;

/**
 * Decides when an action that failed is tried again: after a back-off that doubles with each
 * failure, with jitter, so that processes which failed together don't retry together. Times are
 * milliseconds of one monotonic clock. Thread-safe by one lock.
 */
public final class BackOff {
  private static final long NEVER = Long.MIN_VALUE / 2;

  /** Enough for any back-off in use, and too few for an overflow. */
  private static final int MOST_DOUBLINGS = 16;

  private final long shortestMillis;
  private final long longestMillis;
  private int failures;
  private long retryAt = NEVER;

  /**
   * Creates a back-off without failures, after which the action is due at once.
   *
   * @param shortestMillis back-off after the first failure, milliseconds
   * @param longestMillis longest back-off, milliseconds
   * @throws IllegalArgumentException unless 0 &lt; shortest &le; longest
   */
  public BackOff(long shortestMillis, long longestMillis) {
    if (shortestMillis <= 0 || shortestMillis > longestMillis) {
      throw new IllegalArgumentException(
          "expected 0 < shortest <= longest back-off, but they are %d and %d ms"
              .formatted(shortestMillis, longestMillis));
    }
    this.shortestMillis = shortestMillis;
    this.longestMillis = longestMillis;
  }

  /** Whether the action may be tried now. */
  public synchronized boolean isOver(long now) {
    return now >= retryAt;
  }

  /**
   * Records that the action failed.
   *
   * @param random a random number from 0 to below 1, uniformly distributed; the last half of the
   *     back-off is multiplied by it
   */
  public synchronized void onFailed(long now, double random) {
    long full = Math.min(longestMillis, shortestMillis << Math.min(failures, MOST_DOUBLINGS));
    long half = full / 2;
    retryAt = now + half + (long) (half * random);
    failures++;
  }
}
