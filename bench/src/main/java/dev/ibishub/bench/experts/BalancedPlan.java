package dev.ibishub.bench.experts;

import dev.ibishub.core.ranks.GroupMap;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * The baseline that plans a group's map from nothing and then has each rank take the planned part
 * of which it holds most already.
 */
final class BalancedPlan {
  private BalancedPlan() {}

  static GroupMap plan(GroupMap current, double[][] demand, int places) {
    int[][][] experts = current.experts();
    return GroupMap.of(
        IntStream.range(0, experts.length)
            .mapToObj(
                set ->
                    matched(
                        experts[set],
                        FullReplan.parts(demand[set], even(experts[set].length), places)))
            .toArray(int[][][]::new));
  }

  private static double[] even(int ranks) {
    return IntStream.range(0, ranks).mapToDouble(rank -> 1).toArray();
  }

  /** Gives the parts to the ranks, the greatest overlap first. */
  private static int[][] matched(int[][] held, int[][] parts) {
    int ranks = held.length;
    List<Pair> pairs =
        IntStream.range(0, ranks * ranks)
            .mapToObj(pair -> Pair.of(pair / ranks, pair % ranks, held, parts))
            .sorted(Comparator.comparingInt(pair -> -pair.overlap()))
            .toList();
    int[][] matched = new int[ranks][];
    boolean[] isGiven = new boolean[ranks];
    for (Pair pair : pairs) {
      if (matched[pair.rank()] == null && !isGiven[pair.part()]) {
        matched[pair.rank()] = Arrays.stream(parts[pair.part()]).distinct().sorted().toArray();
        isGiven[pair.part()] = true;
      }
    }
    return matched;
  }

  /** A rank, a planned part, and how many experts of the part the rank holds. */
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
