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

  /**
   * Creates the map of a group that has just formed: in each set the experts go to the ranks in
   * turn, one copy each.
   *
   * @param experts how many experts each set has
   */
  public static GroupMap inTurn(int ranks, int sets, int experts) {
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
   * @param slowness time that each rank takes for a token
   * @return how many times the least time the slowest ranks take, over all sets; 1 at the best
   */
  public double skew(double[][] demand, double[] slowness) {
    double slowest =
        IntStream.range(0, sets()).mapToDouble(set -> slowest(set, demand[set], slowness)).sum();
    double least = Arrays.stream(demand).mapToDouble(ofSet -> leastTime(ofSet, slowness)).sum();
    return least == 0 ? 1 : slowest / least;
  }

  private double slowest(int set, double[] demand, double[] slowness) {
    double[] loads = loads(set, demand);
    return IntStream.range(0, loads.length)
        .mapToDouble(rank -> loads[rank] * slowness[rank])
        .max()
        .orElse(0);
  }

  /** The time that all ranks would take if each got tokens by its speed. */
  static double leastTime(double[] demand, double[] slowness) {
    double speed = Arrays.stream(slowness).map(each -> 1 / each).sum();
    return Arrays.stream(demand).sum() / speed;
  }

  private static int[][][] copy(int[][][] from) {
    return Arrays.stream(from)
        .map(set -> Arrays.stream(set).map(int[]::clone).toArray(int[][]::new))
        .toArray(int[][][]::new);
  }
}
