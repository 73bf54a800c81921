package dev.ibishub.core.ranks;

import java.util.Arrays;
import java.util.Comparator;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * Makes the sets of a group more even, change by change, always in the set that has most to gain.
 * Not thread-safe.
 */
final class PlacementSearch {
  private final SetLayout[] layouts;
  private final ChangeSearch[] searches;
  private final double[] leastTimes;
  private final PlacementLimits limits;
  private final int[] fetchedByRank;
  private int fetchesAllowed;

  PlacementSearch(GroupMap current, double[][] demand, double[] slowness, PlacementLimits limits) {
    this.limits = limits;
    this.fetchedByRank = new int[current.ranks()];
    int[][][] experts = current.experts();
    this.layouts =
        IntStream.range(0, experts.length)
            .mapToObj(
                set -> new SetLayout(experts[set], demand[set], slowness, limits.placesPerRank()))
            .toArray(SetLayout[]::new);
    this.searches =
        Arrays.stream(layouts)
            .map(layout -> new ChangeSearch(layout, limits.newPerSet(), this::mayFetch))
            .toArray(ChangeSearch[]::new);
    this.leastTimes =
        Arrays.stream(demand).mapToDouble(ofSet -> GroupMap.leastTime(ofSet, slowness)).toArray();
  }

  /**
   * Changes what gains, until nothing does.
   *
   * @param mostFetches the most experts that a rank may fetch over all sets
   */
  void improve(int mostFetches) {
    fetchesAllowed = mostFetches;
    boolean[] isStuck = new boolean[layouts.length];
    Optional<Integer> next = mostUneven(isStuck);
    while (next.isPresent()) {
      int set = next.get();
      Optional<LayoutChange> change = searches[set].find();
      change.ifPresent(found -> apply(set, found));
      isStuck[set] = change.isEmpty();
      next = mostUneven(isStuck);
    }
  }

  /** Returns how many times the least time the slowest ranks take, over all sets. */
  double skew() {
    double slowest =
        Arrays.stream(layouts).mapToDouble(layout -> layout.time(layout.slowestRank())).sum();
    return slowest / Arrays.stream(leastTimes).sum();
  }

  /** Returns how many experts all ranks have to fetch. */
  int fetches() {
    return Arrays.stream(fetchedByRank).sum();
  }

  /** Returns how many experts the rank has to fetch that has to fetch most. */
  int mostFetchesOfARank() {
    return Arrays.stream(fetchedByRank).max().orElse(0);
  }

  GroupMap map() {
    return GroupMap.of(Arrays.stream(layouts).map(SetLayout::experts).toArray(int[][][]::new));
  }

  private Optional<Integer> mostUneven(boolean[] isStuck) {
    return IntStream.range(0, layouts.length)
        .filter(set -> !isStuck[set] && excess(set) > 0)
        .boxed()
        .max(Comparator.comparingDouble(this::excess));
  }

  /** What a set's slowest rank takes beyond what is good enough. */
  private double excess(int set) {
    SetLayout layout = layouts[set];
    return layout.time(layout.slowestRank()) - limits.goodSkew() * leastTimes[set];
  }

  private void apply(int set, LayoutChange change) {
    SetLayout layout = layouts[set];
    int[] touched =
        change.relocations().stream()
            .flatMapToInt(each -> IntStream.of(each.from(), each.to()))
            .filter(rank -> rank != SetLayout.NONE)
            .distinct()
            .toArray();
    Arrays.stream(touched).forEach(rank -> fetchedByRank[rank] -= layout.fetched(rank));
    change.apply(layout);
    Arrays.stream(touched).forEach(rank -> fetchedByRank[rank] += layout.fetched(rank));
  }

  private boolean mayFetch(int rank) {
    return fetchedByRank[rank] < fetchesAllowed;
  }
}
