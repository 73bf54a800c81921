package dev.ibishub.core.ranks;

/**
 * What a plan has to keep, and how much it may copy.
 *
 * @param placesPerRank the most experts of a set that a rank holds
 * @param newPerSet the most experts of a set that a rank may fetch for one map
 * @param newPerRank the most experts over all sets that a rank may fetch for one map; this bounds
 *     how long the copying takes
 * @param leastGain the least part of the pass's time that the copy of one expert must gain
 * @param goodSkew no expert is moved in a set whose most loaded rank has no more than this many
 *     times the mean
 */
public record PlacementLimits(
    int placesPerRank, int newPerSet, int newPerRank, double leastGain, double goodSkew) {
  /** Checks that anything can be moved. */
  public PlacementLimits {
    if (placesPerRank < 1 || newPerSet < 1 || newPerRank < 1 || goodSkew < 1) {
      throw new IllegalArgumentException(
          "need placesPerRank, newPerSet, newPerRank and goodSkew of 1 or more");
    }
  }
}
