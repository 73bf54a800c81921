package dev.ibishub.core.ranks;

/**
 * Limits that a plan must respect, and the skew at which it is good enough.
 *
 * @param slotsPerRank maximum number of experts of a layer set that a rank holds
 * @param maximumFetchesPerSet maximum number of experts of a layer set that a rank may fetch for
 *     one map
 * @param maximumFetchesPerRank maximum number of experts over all layer sets that a rank may fetch
 *     for one map
 * @param acceptableSkew no expert is moved in a layer set whose slowest rank takes at most this
 *     multiple of the ideal time
 */
public record PlacementLimits(
    int slotsPerRank, int maximumFetchesPerSet, int maximumFetchesPerRank, double acceptableSkew) {
  /** Checks that all limits are 1 or more. */
  public PlacementLimits {
    if (slotsPerRank < 1
        || maximumFetchesPerSet < 1
        || maximumFetchesPerRank < 1
        || !(acceptableSkew >= 1)) {
      throw new IllegalArgumentException(
          "slotsPerRank, both fetch limits and acceptableSkew must be 1 or more");
    }
  }
}
