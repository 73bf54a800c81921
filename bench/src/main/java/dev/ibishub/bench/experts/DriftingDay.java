package dev.ibishub.bench.experts;

import java.util.Random;

/**
 * The popularity of experts through a day: topics that each have their own hour and their own
 * experts, and one rank that is slow for two hours.
 */
final class DriftingDay {
  static final int TICKS = 144;

  private static final int TOPICS = 6;
  private static final double SPREAD = 0.7;
  private static final double NOISE = 0.05;
  private static final int STRAGGLER = 3;
  private static final double STRAGGLER_SLOWNESS = 1.5;
  private static final int STRAGGLER_FROM = 60;
  private static final int STRAGGLER_TO = 72;

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
          layer[expert] = Math.exp(SPREAD * random.nextGaussian());
        }
      }
    }
  }

  /** Tokens a step by layer and expert, as they are. */
  double[][] popularity(int tick) {
    int layers = topics[0].length;
    int experts = topics[0][0].length;
    double[][] sum = new double[layers][experts];
    for (int topic = 0; topic < TOPICS; topic++) {
      double phase = 2 * Math.PI * ((double) tick / TICKS - (double) topic / TOPICS);
      double weight = Math.pow(1 + Math.cos(phase), 2);
      for (int layer = 0; layer < layers; layer++) {
        for (int expert = 0; expert < experts; expert++) {
          sum[layer][expert] += weight * topics[topic][layer][expert];
        }
      }
    }
    return sum;
  }

  /** The same as a planner hears it: of the tick before, with noise. */
  double[][] reported(int tick) {
    double[][] popularity = popularity(tick - 1);
    for (double[] layer : popularity) {
      for (int expert = 0; expert < layer.length; expert++) {
        layer[expert] *= 1 + NOISE * random.nextGaussian();
      }
    }
    return popularity;
  }

  double[] slowness(int tick) {
    double[] slowness = new double[ranks];
    java.util.Arrays.fill(slowness, 1);
    if (tick >= STRAGGLER_FROM && tick < STRAGGLER_TO) {
      slowness[STRAGGLER] = STRAGGLER_SLOWNESS;
    }
    return slowness;
  }

  /** Whether long batches are due within the half hour. */
  static boolean deadlineNear(int tick) {
    int hour = tick / 6;
    return (hour == 11 || hour == 17) && tick % 6 >= 3;
  }
}
