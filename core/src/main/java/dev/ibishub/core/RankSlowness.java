package dev.ibishub.core;

import java.util.Arrays;
import java.util.stream.IntStream;

/**
 * Estimates how slow each rank is from the time of its own part of a step. That time has a part
 * that does not depend on the experts the rank holds; taken per token, a rank with few tokens would
 * look slow and would be given fewer still. So the time is first fitted as a line over the load,
 * and only what a rank takes beyond the line is its own slowness.
 */
public final class RankSlowness {
  /** Ranks within this part of the line count as equally fast: it is the noise of a measurement. */
  private static final double NOISE = 0.1;

  private RankSlowness() {}

  /**
   * Estimates.
   *
   * @param loads tokens that each rank's experts get, by rank
   * @param stepMillis time of each rank's part of a step, milliseconds, by rank
   * @return for each rank how many times as long as the others it takes; 1 for an ordinary one
   */
  public static double[] of(double[] loads, double[] stepMillis) {
    double meanLoad = Arrays.stream(loads).average().orElse(0);
    double typicalMillis = median(stepMillis);
    double slope = Math.max(0, medianSlope(loads, stepMillis, meanLoad, typicalMillis));
    return IntStream.range(0, loads.length)
        .mapToDouble(
            rank -> ratio(stepMillis[rank], typicalMillis + slope * (loads[rank] - meanLoad)))
        .toArray();
  }

  private static double ratio(double millis, double expected) {
    double ratio = expected > 0 && millis > 0 ? millis / expected : 1;
    return Math.abs(ratio - 1) < NOISE ? 1 : ratio;
  }

  /** The median of the slopes to the middle: one straggler does not bend the line. */
  private static double medianSlope(
      double[] loads, double[] stepMillis, double meanLoad, double typicalMillis) {
    double least = 0.02 * meanLoad;
    double[] slopes =
        IntStream.range(0, loads.length)
            .filter(rank -> Math.abs(loads[rank] - meanLoad) > least)
            .mapToDouble(rank -> (stepMillis[rank] - typicalMillis) / (loads[rank] - meanLoad))
            .toArray();
    return slopes.length == 0 ? 0 : median(slopes);
  }

  private static double median(double[] values) {
    double[] sorted = values.clone();
    Arrays.sort(sorted);
    int middle = sorted.length / 2;
    return sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
  }
}
