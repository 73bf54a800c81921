package dev.ibishub.core.serving;

/**
 * A token bucket with room for one token that limits the rate at which requests are sent. It starts
 * empty, so that an entry that has just become a holder of a limit does not send at once. Not
 * thread-safe.
 */
final class TokenBucket {
  /** Most tokens that the bucket holds, and most that it can be overdrawn by. */
  private static final double CAPACITY = 1;

  private static final double MILLIS_PER_SECOND = 1_000;

  private double perSecond;
  private double tokens;
  private long refilledAt = Long.MIN_VALUE;

  /** Sets the refill rate. A rate of 0 also empties the bucket. */
  void setRate(double requestsPerSecond, long now) {
    refill(now);
    perSecond = requestsPerSecond;
    tokens = perSecond > 0 ? tokens : 0;
  }

  /** Whether there is a token, so that a request may be sent now. */
  boolean hasToken(long now) {
    refill(now);
    return tokens >= CAPACITY;
  }

  /** Takes one token. An empty bucket is overdrawn, which delays the next token. */
  void take(long now) {
    refill(now);
    tokens = Math.max(-CAPACITY, tokens - 1);
  }

  private void refill(long now) {
    if (refilledAt != Long.MIN_VALUE && now > refilledAt) {
      tokens = Math.min(CAPACITY, tokens + perSecond * (now - refilledAt) / MILLIS_PER_SECOND);
    }
    refilledAt = Math.max(refilledAt, now);
  }
}
