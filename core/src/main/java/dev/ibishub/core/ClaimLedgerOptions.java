package dev.ibishub.core;

import java.time.Duration;

/**
 * Bounds of a {@link ClaimLedger}.
 *
 * @param keyLifetime for how long after a key was made it may be used
 * @param logRetention for how long the log service keeps a record
 * @param clockSkew the most that the clocks of caller, agent and log service differ
 * @param maximumClaims the most claims kept in memory
 */
public record ClaimLedgerOptions(
    Duration keyLifetime, Duration logRetention, Duration clockSkew, int maximumClaims) {
  private static final int CLOCKS_THAT_MAY_DIFFER = 3;

  /**
   * Checks that a key is refused before the log can have dropped its claim. The claim is written
   * after the key was made, so it is kept for the log's retention from then on; the clocks of the
   * caller that made the key, of the agent that took it and of the one that is asked again may each
   * be off.
   */
  public ClaimLedgerOptions {
    Duration needed = keyLifetime.plus(clockSkew.multipliedBy(CLOCKS_THAT_MAY_DIFFER));
    if (needed.compareTo(logRetention) > 0) {
      throw new IllegalArgumentException(
          "logRetention " + logRetention + " is shorter than keyLifetime and skew: " + needed);
    }
    if (keyLifetime.isNegative() || clockSkew.isNegative() || maximumClaims < 1) {
      throw new IllegalArgumentException("bounds must be positive");
    }
  }

  /** Returns 1 hour of lifetime, 2 hours of retention, 5 seconds of skew and 200,000 claims. */
  public static ClaimLedgerOptions defaults() {
    return new ClaimLedgerOptions(
        Duration.ofHours(1), Duration.ofHours(2), Duration.ofSeconds(5), 200_000);
  }
}
