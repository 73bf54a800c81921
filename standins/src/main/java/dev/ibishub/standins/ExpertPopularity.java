package dev.ibishub.standins;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * How often each expert is asked, as shares that sum to 1. The most popular expert moves round over
 * time, as the mix of words and topics does through a day.
 */
record ExpertPopularity(int experts, Instant start, long driftSeconds) {
  /** The shares at a time. */
  List<Double> shares(Instant now) {
    double turns = Duration.between(start, now).toMillis() / 1000.0 / driftSeconds;
    double peak = experts * (turns - Math.floor(turns));
    double[] weights =
        IntStream.range(0, experts).mapToDouble(expert -> weight(expert, peak)).toArray();
    double sum = IntStream.range(0, experts).mapToDouble(expert -> weights[expert]).sum();
    return IntStream.range(0, experts)
        .mapToObj(expert -> weights[expert] / sum)
        .collect(Collectors.toUnmodifiableList());
  }

  private double weight(int expert, double peak) {
    double apart = Math.abs(expert - peak);
    double distance = Math.min(apart, experts - apart);
    return 1 + 3 * Math.exp(-distance * 8 / experts);
  }
}
