package dev.ibishub.core.ranks;

/**
 * What a plan has to keep, and when it is good enough.
 *
 * @param placesPerRank the most experts of a set that a rank holds
 * @param newPerSet the most experts of a set that a rank may fetch for one map
 * @param newPerRank the most experts over all sets that a rank may fetch for one map
 * @param goodSkew no expert is moved in a set whose slowest rank takes no more than this many times
 *     the least time
 */
public record PlacementLimits(int placesPerRank, int newPerSet, int newPerRank, double goodSkew) {
  /** Checks that anything can be moved. */
  public PlacementLimits {
    if (placesPerRank < 1 || newPerSet < 1 || newPerRank < 1 || !(goodSkew >= 1)) {
      throw new IllegalArgumentException(
          "need placesPerRank, newPerSet, newPerRank and goodSkew of 1 or more");
    }
  }
}
