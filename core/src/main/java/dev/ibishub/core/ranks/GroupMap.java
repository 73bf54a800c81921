package dev.ibishub.core.ranks;

import java.util.Arrays;
import java.util.stream.IntStream;

/**
 * Which ranks hold which experts, set by set. Ranks that hold the same expert share its tokens
 * evenly. Immutable.
 */
public final class GroupMap {
  private final int[][][] experts;

  private GroupMap(int[][][] experts) {
    this.experts = experts;
  }

  /**
   * Creates a map.
   *
   * @param experts experts by set and rank
   */
  public static GroupMap of(int[][][] experts) {
    return new GroupMap(copy(experts));
  }

  public int sets() {
    return experts.length;
  }

  public int ranks() {
    return experts.length == 0 ? 0 : experts[0].length;
  }

  /** Returns the experts by set and rank. */
  public int[][][] experts() {
    return copy(experts);
  }

  /** Whether each of a number of experts is held by some rank in each set. */
  public boolean holdsAll(int numberOfExperts) {
    return Arrays.stream(experts)
        .allMatch(
            set ->
                Arrays.stream(set).flatMapToInt(Arrays::stream).distinct().count()
                    == numberOfExperts);
  }

  /** Counts the experts that a rank would have to fetch to come from this map to another. */
  public int fetches(GroupMap next, int rank) {
    return IntStream.range(0, sets())
        .map(
            set ->
                (int)
                    Arrays.stream(next.experts[set][rank])
                        .filter(
                            expert ->
                                Arrays.stream(experts[set][rank]).noneMatch(own -> own == expert))
                        .count())
        .sum();
  }

  /** Returns the tokens of each rank in a set when experts get tokens as given. */
  public double[] loads(int set, double[] demand) {
    int[] holders = new int[demand.length];
    Arrays.stream(experts[set]).flatMapToInt(Arrays::stream).forEach(expert -> holders[expert]++);
    return Arrays.stream(experts[set])
        .mapToDouble(rank -> Arrays.stream(rank).mapToDouble(e -> demand[e] / holders[e]).sum())
        .toArray();
  }

  /**
   * Measures the map.
   *
   * @param demand tokens by set and expert
   * @return how many times the mean the most loaded ranks have, over all sets; 1 at the best
   */
  public double skew(double[][] demand) {
    double most =
        IntStream.range(0, sets())
            .mapToDouble(set -> Arrays.stream(loads(set, demand[set])).max().orElse(0))
            .sum();
    double mean = Arrays.stream(demand).flatMapToDouble(Arrays::stream).sum() / ranks();
    return mean == 0 ? 1 : most / mean;
  }

  private static int[][][] copy(int[][][] from) {
    return Arrays.stream(from)
        .map(set -> Arrays.stream(set).map(int[]::clone).toArray(int[][]::new))
        .toArray(int[][][]::new);
  }
}
