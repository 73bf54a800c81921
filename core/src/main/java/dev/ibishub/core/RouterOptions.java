package dev.ibishub.core;

/**
 * How a {@link Router} weighs targets.
 *
 * @param otherZonePenaltySeconds added to the estimated wait at a target of another failure domain
 * @param prefixSavingSeconds wait that is worth a cached prefix: what it saves the request and, as
 *     the target has more time, those behind it
 * @param initialTokensPerSecond rate assumed of a target that reports none
 * @param slowStartSeconds time over which a target that is new or back gets to its full share
 * @param ejectionFailures failures in a row that eject a target
 * @param ejectionSeconds time of the first ejection; it doubles with each one that follows
 * @param largestEjectedShare share of the targets of one model or service that may be ejected at
 *     the same time, 0 to 1
 * @param cachedPrefixesPerTarget cached prefixes that are remembered for each target
 */
public record RouterOptions(
    double otherZonePenaltySeconds,
    double prefixSavingSeconds,
    double initialTokensPerSecond,
    double slowStartSeconds,
    int ejectionFailures,
    double ejectionSeconds,
    double largestEjectedShare,
    int cachedPrefixesPerTarget) {
  /** Checks the ranges; fails with {@link IllegalArgumentException}. */
  public RouterOptions {
    if (!(otherZonePenaltySeconds >= 0)
        || !(prefixSavingSeconds >= 0)
        || !(initialTokensPerSecond > 0)
        || !(slowStartSeconds >= 0)
        || ejectionFailures < 1
        || !(ejectionSeconds > 0)
        || !(largestEjectedShare >= 0 && largestEjectedShare <= 1)
        || cachedPrefixesPerTarget < 0) {
      throw new IllegalArgumentException("out of range: " + this);
    }
  }

  /** The options that docs/MEASUREMENTS.md was measured with. */
  public static RouterOptions defaults() {
    return new RouterOptions(0.003, 0.8, 1000, 10, 5, 5, 0.3, 4096);
  }

  /** The same options with another wait that is worth a cached prefix, seconds. */
  public RouterOptions withPrefixSavingSeconds(double seconds) {
    return new RouterOptions(
        otherZonePenaltySeconds,
        seconds,
        initialTokensPerSecond,
        slowStartSeconds,
        ejectionFailures,
        ejectionSeconds,
        largestEjectedShare,
        cachedPrefixesPerTarget);
  }
}
