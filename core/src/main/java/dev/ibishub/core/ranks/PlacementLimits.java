package dev.ibishub.core.ranks;

/**
 * Limits that a plan must respect, and the skew at which it is good enough.
 *
 * @param placesPerRank maximum number of experts of a layer set that a rank holds
 * @param newPerSet maximum number of experts of a layer set that a rank may fetch for one map
 * @param newPerRank maximum number of experts over all layer sets that a rank may fetch for one map
 * @param goodSkew no expert is moved in a layer set whose slowest rank takes at most this multiple
 *     of the ideal time
 */
public record PlacementLimits(int placesPerRank, int newPerSet, int newPerRank, double goodSkew) {
  /** Checks that all limits are at least 1. */
  public PlacementLimits {
    if (placesPerRank < 1 || newPerSet < 1 || newPerRank < 1 || !(goodSkew >= 1)) {
      throw new IllegalArgumentException(
          "need placesPerRank, newPerSet, newPerRank and goodSkew of 1 or more");
    }
  }
}
