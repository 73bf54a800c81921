package dev.ibishub.core;

import java.util.Arrays;
import java.util.stream.IntStream;

/**
 * Estimates the relative slowness of each rank from the duration of its own part of a step. That
 * duration includes a fixed part that does not depend on the load. Measured per token, a rank with
 * few tokens would therefore look slow and be given even fewer. So a line is first fitted to
 * duration over load, and a rank's slowness is its deviation from that line. Stateless.
 */
public final class RankSlowness {
  /**
   * Relative deviation from the line below which it is measurement noise and the rank counts as
   * normal.
   */
  private static final double NOISE_FRACTION = 0.1;

  private RankSlowness() {}

  /**
   * Estimates the slowness of each rank.
   *
   * @param loads tokens routed to each rank's experts, by rank
   * @param stepMillis duration of each rank's part of a step in milliseconds, by rank; 0 if unknown
   * @return how many times the expected duration each rank takes, by rank; 1 for a normal rank
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

  private static double ratio(double millis, double expectedMillis) {
    double ratio = expectedMillis > 0 && millis > 0 ? millis / expectedMillis : 1;
    return Math.abs(ratio - 1) < NOISE_FRACTION ? 1 : ratio;
  }

  /** Median slope towards the center, robust against a single straggler. */
  private static double medianSlope(
      double[] loads, double[] stepMillis, double meanLoad, double typicalMillis) {
    double minimumLoadDifference = 0.02 * meanLoad;
    double[] slopes =
        IntStream.range(0, loads.length)
            .filter(rank -> Math.abs(loads[rank] - meanLoad) > minimumLoadDifference)
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
