package dev.ibishub.core;

/**
 * Weights and thresholds of a {@link Router}.
 *
 * @param otherZonePenaltySeconds added to the estimated wait at a target in another failure domain
 * @param prefixSavingSeconds wait that a cached prefix is worth: the time that it saves the request
 *     and, since the target is free earlier, the requests behind it
 * @param initialTokensPerSecond rate assumed for a target that reports none
 * @param slowStartSeconds time in which a target that is new or back ramps up to its full share
 * @param ejectionFailures consecutive failures after which a target is ejected
 * @param ejectionSeconds duration of the first ejection; doubles with each consecutive one
 * @param largestEjectedShare largest share of the targets of one model or service that may be
 *     ejected at the same time, 0 to 1
 * @param cachedPrefixesPerTarget number of cached prefixes that are remembered for each target
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

  /**
   * Returns the default options: a penalty of 3 ms for another failure domain, 0.8 seconds for a
   * cached prefix, 1,000 tokens a second, a slow start of 10 seconds, ejection after 5 failures for
   * 5 seconds at first, of at most 0.3 of the targets, and 4,096 prefixes for each target.
   */
  public static RouterOptions defaults() {
    return new RouterOptions(0.003, 0.8, 1000, 10, 5, 5, 0.3, 4096);
  }

  /**
   * Returns the same options with another prefix saving.
   *
   * @param seconds wait that a cached prefix is worth, in seconds
   */
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
