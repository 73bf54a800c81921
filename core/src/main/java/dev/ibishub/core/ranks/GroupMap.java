package dev.ibishub.core.ranks;

import java.util.Arrays;
import java.util.stream.IntStream;

/**
 * Assignment of experts to ranks in each layer set. Ranks that hold the same expert share its
 * tokens evenly. Immutable and thread-safe. It is used on the platform of ibishub's users; {@code
 * dev.ibishub.core.ExpertMap} is its counterpart behind ibishub's own interface.
 */
public final class GroupMap {
  private final int[][][] experts;

  private GroupMap(int[][][] experts) {
    this.experts = experts;
  }

  /**
   * Creates a map.
   *
   * @param experts the experts, by layer set and rank; copied
   */
  public static GroupMap of(int[][][] experts) {
    return new GroupMap(copy(experts));
  }

  /**
   * Creates the map of a newly formed group: in each layer set the experts are assigned to the
   * ranks round-robin, without replicas.
   *
   * @param ranks number of ranks
   * @param sets number of layer sets
   * @param experts number of experts in each layer set
   */
  public static GroupMap roundRobin(int ranks, int sets, int experts) {
    int[][] set =
        IntStream.range(0, ranks)
            .mapToObj(rank -> IntStream.iterate(rank, e -> e < experts, e -> e + ranks).toArray())
            .toArray(int[][]::new);
    return GroupMap.of(IntStream.range(0, sets).mapToObj(any -> set).toArray(int[][][]::new));
  }

  public int sets() {
    return experts.length;
  }

  public int ranks() {
    return experts.length == 0 ? 0 : experts[0].length;
  }

  /** Returns a copy of the experts, by layer set and rank. */
  public int[][][] experts() {
    return copy(experts);
  }

  /** Whether every layer set holds the given number of distinct experts. */
  public boolean holdsAll(int numberOfExperts) {
    return Arrays.stream(experts)
        .allMatch(
            set ->
                Arrays.stream(set).flatMapToInt(Arrays::stream).distinct().count()
                    == numberOfExperts);
  }

  /** Returns the number of experts that a rank must fetch to switch from this map to another. */
  public int fetches(GroupMap next, int rank) {
    return IntStream.range(0, sets())
        .map(
            set ->
                (int)
                    Arrays.stream(next.experts[set][rank])
                        .filter(
                            expert ->
                                Arrays.stream(experts[set][rank]).noneMatch(held -> held == expert))
                        .count())
        .sum();
  }

  /** Returns the tokens of each rank in a layer set, given the tokens of each expert. */
  public double[] loads(int set, double[] demand) {
    int[] holders = new int[demand.length];
    Arrays.stream(experts[set]).flatMapToInt(Arrays::stream).forEach(expert -> holders[expert]++);
    return Arrays.stream(experts[set])
        .mapToDouble(rank -> Arrays.stream(rank).mapToDouble(e -> demand[e] / holders[e]).sum())
        .toArray();
  }

  /**
   * Returns the skew of the map.
   *
   * @param demand tokens, by layer set and expert
   * @param slowness relative time for a token, by rank
   * @return time of the slowest ranks over all layer sets as a multiple of the ideal; 1 for a
   *     perfect balance
   */
  public double skew(double[][] demand, double[] slowness) {
    double slowest =
        IntStream.range(0, sets()).mapToDouble(set -> slowest(set, demand[set], slowness)).sum();
    double ideal =
        Arrays.stream(demand).mapToDouble(setDemand -> idealTime(setDemand, slowness)).sum();
    return ideal == 0 ? 1 : slowest / ideal;
  }

  private double slowest(int set, double[] demand, double[] slowness) {
    double[] loads = loads(set, demand);
    return IntStream.range(0, loads.length)
        .mapToDouble(rank -> loads[rank] * slowness[rank])
        .max()
        .orElse(0);
  }

  /** Returns the time of every rank under a perfect balance, with tokens in proportion to speed. */
  static double idealTime(double[] demand, double[] slowness) {
    double speed = Arrays.stream(slowness).map(each -> 1 / each).sum();
    return Arrays.stream(demand).sum() / speed;
  }

  private static int[][][] copy(int[][][] from) {
    return Arrays.stream(from)
        .map(set -> Arrays.stream(set).map(int[]::clone).toArray(int[][]::new))
        .toArray(int[][][]::new);
  }
}
