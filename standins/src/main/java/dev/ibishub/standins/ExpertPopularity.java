package dev.ibishub.standins;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Popularity of the experts, as shares that sum to 1.
 *
 * <p>The most popular expert moves once through all experts in each period, as the mix of words and
 * topics changes through a day.
 *
 * @param experts number of experts
 * @param start time at which the first period begins
 * @param driftSeconds length of the period, in seconds
 */
record ExpertPopularity(int experts, Instant start, long driftSeconds) {
  /** Returns the share of each expert at the given time. */
  List<Double> shares(Instant now) {
    double cycles = Duration.between(start, now).toMillis() / 1000.0 / driftSeconds;
    double peak = experts * (cycles - Math.floor(cycles));
    double[] weights =
        IntStream.range(0, experts).mapToDouble(expert -> weight(expert, peak)).toArray();
    double sum = IntStream.range(0, experts).mapToDouble(expert -> weights[expert]).sum();
    return IntStream.range(0, experts)
        .mapToObj(expert -> weights[expert] / sum)
        .collect(Collectors.toUnmodifiableList());
  }

  private double weight(int expert, double peak) {
    double difference = Math.abs(expert - peak);
    double distance = Math.min(difference, experts - difference);
    return 1 + 3 * Math.exp(-distance * 8 / experts);
  }
}
