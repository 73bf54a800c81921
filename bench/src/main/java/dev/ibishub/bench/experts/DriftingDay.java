package dev.ibishub.bench.experts;

import java.util.Random;

/**
 * Expert popularity over a day in ticks of ten minutes: each topic has its own peak hour and its
 * own popular experts, and one rank is slow for two hours.
 */
final class DriftingDay {
  static final int TICKS_PER_DAY = 144;

  private static final int TOPICS = 6;
  private static final double POPULARITY_SIGMA = 0.7;
  private static final double REPORT_NOISE = 0.05;
  private static final int STRAGGLER_RANK = 3;
  private static final double STRAGGLER_SLOWNESS = 1.5;
  private static final int STRAGGLER_FROM_TICK = 60;
  private static final int STRAGGLER_UNTIL_TICK = 72;

  private final double[][][] topics;
  private final int ranks;
  private final Random random;

  DriftingDay(int layers, int experts, int ranks, long seed) {
    this.ranks = ranks;
    this.random = new Random(seed);
    this.topics = new double[TOPICS][layers][experts];
    for (double[][] topic : topics) {
      for (double[] layer : topic) {
        for (int expert = 0; expert < experts; expert++) {
          layer[expert] = Math.exp(POPULARITY_SIGMA * random.nextGaussian());
        }
      }
    }
  }

  /** Returns the actual popularity of each expert, by layer and expert. */
  double[][] popularity(int tick) {
    int layers = topics[0].length;
    int experts = topics[0][0].length;
    double[][] sum = new double[layers][experts];
    for (int topic = 0; topic < TOPICS; topic++) {
      double phase = 2 * Math.PI * ((double) tick / TICKS_PER_DAY - (double) topic / TOPICS);
      double weight = Math.pow(1 + Math.cos(phase), 2);
      for (int layer = 0; layer < layers; layer++) {
        for (int expert = 0; expert < experts; expert++) {
          sum[layer][expert] += weight * topics[topic][layer][expert];
        }
      }
    }
    return sum;
  }

  /** Returns the popularity as a planner sees it: of the previous tick, with noise. */
  double[][] reported(int tick) {
    double[][] popularity = popularity(tick - 1);
    for (double[] layer : popularity) {
      for (int expert = 0; expert < layer.length; expert++) {
        layer[expert] *= 1 + REPORT_NOISE * random.nextGaussian();
      }
    }
    return popularity;
  }

  double[] slowness(int tick) {
    double[] slowness = new double[ranks];
    java.util.Arrays.fill(slowness, 1);
    if (tick >= STRAGGLER_FROM_TICK && tick < STRAGGLER_UNTIL_TICK) {
      slowness[STRAGGLER_RANK] = STRAGGLER_SLOWNESS;
    }
    return slowness;
  }

  /** Returns whether long batches are due within half an hour. */
  static boolean isDeadlineNear(int tick) {
    int hour = tick / 6;
    return (hour == 11 || hour == 17) && tick % 6 >= 3;
  }
}
