package dev.ibishub.bench.experts;

import dev.ibishub.core.ExpertMap;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Baseline that plans from scratch: replicates the most popular experts, then places the replicas
 * with the largest load first.
 */
final class FullReplan {
  private FullReplan() {}

  static ExpertMap plan(ExpertMap shape, double[][] popularity, double[] slowness) {
    int perLayer = shape.ranks() * shape.slots();
    short[] experts = new short[shape.layers() * perLayer];
    for (int layer = 0; layer < shape.layers(); layer++) {
      int[][] parts = parts(popularity[layer], slowness, shape.slots());
      int offset = layer * perLayer;
      IntStream.range(0, perLayer)
          .forEach(
              place ->
                  experts[offset + place] =
                      (short) parts[place / shape.slots()][place % shape.slots()]);
    }
    return ExpertMap.of(shape.layers(), shape.ranks(), shape.slots(), experts);
  }

  /** Returns the experts of each rank of one layer, with all slots filled. */
  static int[][] parts(double[] popularity, double[] slowness, int slots) {
    int ranks = slowness.length;
    int[] replicas = replicas(popularity, ranks * slots);
    List<Integer> items =
        IntStream.range(0, popularity.length)
            .boxed()
            .flatMap(expert -> java.util.Collections.nCopies(replicas[expert], expert).stream())
            .sorted(Comparator.comparingDouble(expert -> -popularity[expert] / replicas[expert]))
            .toList();
    int[][] parts = new int[ranks][slots];
    double[] load = new double[ranks];
    int[] used = new int[ranks];
    for (int expert : items) {
      double share = popularity[expert] / replicas[expert];
      int rank =
          IntStream.range(0, ranks)
              .filter(each -> used[each] < slots)
              .boxed()
              .min(Comparator.comparingDouble(each -> (load[each] + share) * slowness[each]))
              .orElseThrow();
      parts[rank][used[rank]] = expert;
      used[rank]++;
      load[rank] += share;
    }
    return parts;
  }

  private static int[] replicas(double[] popularity, int slots) {
    int[] replicas = new int[popularity.length];
    Arrays.fill(replicas, 1);
    for (int extra = popularity.length; extra < slots; extra++) {
      int hottest =
          IntStream.range(0, popularity.length)
              .boxed()
              .max(Comparator.comparingDouble(expert -> popularity[expert] / replicas[expert]))
              .orElseThrow();
      replicas[hottest]++;
    }
    return replicas;
  }
}
