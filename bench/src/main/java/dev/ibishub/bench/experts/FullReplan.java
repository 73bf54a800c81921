package dev.ibishub.bench.experts;

import dev.ibishub.core.ExpertMap;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/** The baseline that plans anew from nothing: replicas for the hottest, then the heaviest first. */
final class FullReplan {
  private FullReplan() {}

  static ExpertMap plan(ExpertMap shape, double[][] popularity, double[] slowness) {
    int perLayer = shape.ranks() * shape.slots();
    short[] experts = new short[shape.layers() * perLayer];
    for (int layer = 0; layer < shape.layers(); layer++) {
      pack(experts, layer * perLayer, shape, popularity[layer], slowness);
    }
    return ExpertMap.of(shape.layers(), shape.ranks(), shape.slots(), experts);
  }

  private static void pack(
      short[] experts, int offset, ExpertMap shape, double[] popularity, double[] slowness) {
    int[] replicas = replicas(popularity, shape.ranks() * shape.slots());
    List<Integer> items =
        IntStream.range(0, popularity.length)
            .boxed()
            .flatMap(expert -> java.util.Collections.nCopies(replicas[expert], expert).stream())
            .sorted(Comparator.comparingDouble(expert -> -popularity[expert] / replicas[expert]))
            .toList();
    double[] load = new double[shape.ranks()];
    int[] used = new int[shape.ranks()];
    for (int expert : items) {
      double share = popularity[expert] / replicas[expert];
      int rank =
          IntStream.range(0, shape.ranks())
              .filter(each -> used[each] < shape.slots())
              .boxed()
              .min(Comparator.comparingDouble(each -> (load[each] + share) * slowness[each]))
              .orElseThrow();
      experts[offset + rank * shape.slots() + used[rank]] = (short) expert;
      used[rank]++;
      load[rank] += share;
    }
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
