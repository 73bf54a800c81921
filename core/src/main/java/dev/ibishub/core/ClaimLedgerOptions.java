package dev.ibishub.core;

import java.time.Duration;

/**
 * Bounds of a {@link ClaimLedger}.
 *
 * @param keyLifetime for how long a key may be used after its creation
 * @param logRetention for how long the log service keeps a record
 * @param clockSkew bound on the difference between the clocks of caller, agent and log service
 * @param maximumClaims the most claims kept in memory
 */
public record ClaimLedgerOptions(
    Duration keyLifetime, Duration logRetention, Duration clockSkew, int maximumClaims) {
  private static final int SKEWED_CLOCKS = 3;

  /**
   * Checks that a key is refused before the log can delete its claim. A claim is appended after its
   * key was created and is kept for the log's retention from then on. The clocks of the caller that
   * created the key, of the agent that claimed it and of the agent that gets it again may each be
   * off by the skew.
   */
  public ClaimLedgerOptions {
    Duration needed = keyLifetime.plus(clockSkew.multipliedBy(SKEWED_CLOCKS));
    if (needed.compareTo(logRetention) > 0) {
      throw new IllegalArgumentException(
          "logRetention " + logRetention + " is shorter than keyLifetime and skew: " + needed);
    }
    if (keyLifetime.isNegative() || clockSkew.isNegative() || maximumClaims < 1) {
      throw new IllegalArgumentException("bounds must be positive");
    }
  }

  /**
   * Returns a lifetime of 1 hour, a retention of 2 hours, a skew of 5 seconds and 200,000 claims.
   */
  public static ClaimLedgerOptions defaults() {
    return new ClaimLedgerOptions(
        Duration.ofHours(1), Duration.ofHours(2), Duration.ofSeconds(5), 200_000);
  }
}
