package dev.ibishub.bench.experts;

import dev.ibishub.core.ranks.GroupMap;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Baseline that plans a group's map from scratch, then assigns each part of the plan to the rank
 * that already holds most of its experts.
 */
final class BalancedPlan {
  private BalancedPlan() {}

  static GroupMap plan(GroupMap current, double[][] demand, int places) {
    int[][][] experts = current.experts();
    return GroupMap.of(
        IntStream.range(0, experts.length)
            .mapToObj(
                set ->
                    matchToRanks(
                        experts[set],
                        FullReplan.parts(
                            demand[set], uniformSlowness(experts[set].length), places)))
            .toArray(int[][][]::new));
  }

  private static double[] uniformSlowness(int ranks) {
    return IntStream.range(0, ranks).mapToDouble(rank -> 1).toArray();
  }

  /** Assigns parts to ranks greedily, greatest overlap first. */
  private static int[][] matchToRanks(int[][] held, int[][] parts) {
    int ranks = held.length;
    List<Pair> pairs =
        IntStream.range(0, ranks * ranks)
            .mapToObj(pair -> Pair.of(pair / ranks, pair % ranks, held, parts))
            .sorted(Comparator.comparingInt(pair -> -pair.overlap()))
            .toList();
    int[][] assigned = new int[ranks][];
    boolean[] isAssigned = new boolean[ranks];
    for (Pair pair : pairs) {
      if (assigned[pair.rank()] == null && !isAssigned[pair.part()]) {
        assigned[pair.rank()] = Arrays.stream(parts[pair.part()]).distinct().sorted().toArray();
        isAssigned[pair.part()] = true;
      }
    }
    return assigned;
  }

  /** A rank, a part, and the number of experts of the part that the rank holds. */
  private record Pair(int rank, int part, int overlap) {
    static Pair of(int rank, int part, int[][] held, int[][] parts) {
      int overlap = 0;
      for (int expert : parts[part]) {
        for (int own : held[rank]) {
          overlap += own == expert ? 1 : 0;
        }
      }
      return new Pair(rank, part, overlap);
    }
  }
}
