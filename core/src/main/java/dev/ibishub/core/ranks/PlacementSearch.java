package dev.ibishub.core.ranks;

import java.util.Arrays;
import java.util.Comparator;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * Balances the layer sets of a group, one change at a time, always in the layer set with the
 * largest excess over the acceptable time. Not thread-safe.
 */
final class PlacementSearch {
  private final SetLayout[] layouts;
  private final ChangeSearch[] searches;
  private final double[] idealTimes;
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
                set -> new SetLayout(experts[set], demand[set], slowness, limits.slotsPerRank()))
            .toArray(SetLayout[]::new);
    this.searches =
        Arrays.stream(layouts)
            .map(layout -> new ChangeSearch(layout, limits.maximumFetchesPerSet(), this::mayFetch))
            .toArray(ChangeSearch[]::new);
    this.idealTimes =
        Arrays.stream(demand)
            .mapToDouble(setDemand -> GroupMap.idealTime(setDemand, slowness))
            .toArray();
  }

  /**
   * Applies changes until none gains.
   *
   * @param maximumFetches maximum number of experts that a rank may fetch over all layer sets
   */
  void balance(int maximumFetches) {
    fetchesAllowed = maximumFetches;
    boolean[] isExhausted = new boolean[layouts.length];
    Optional<Integer> next = setWithLargestExcess(isExhausted);
    while (next.isPresent()) {
      int set = next.get();
      Optional<LayoutChange> change = searches[set].find();
      change.ifPresent(improvement -> apply(set, improvement));
      isExhausted[set] = change.isEmpty();
      next = setWithLargestExcess(isExhausted);
    }
  }

  /** Returns the time of the slowest ranks over all layer sets as a multiple of the ideal. */
  double skew() {
    double slowest =
        Arrays.stream(layouts).mapToDouble(layout -> layout.time(layout.slowestRank())).sum();
    return slowest / Arrays.stream(idealTimes).sum();
  }

  /** Returns the number of experts to fetch over all ranks. */
  int fetches() {
    return Arrays.stream(fetchedByRank).sum();
  }

  /** Returns the maximum number of experts that any one rank must fetch. */
  int mostFetchesByOneRank() {
    return Arrays.stream(fetchedByRank).max().orElse(0);
  }

  GroupMap map() {
    return GroupMap.of(Arrays.stream(layouts).map(SetLayout::experts).toArray(int[][][]::new));
  }

  private Optional<Integer> setWithLargestExcess(boolean[] isExhausted) {
    return IntStream.range(0, layouts.length)
        .filter(set -> !isExhausted[set] && excess(set) > 0)
        .boxed()
        .max(Comparator.comparingDouble(this::excess));
  }

  /** Returns how far the time of a layer set's slowest rank exceeds the acceptable time. */
  private double excess(int set) {
    SetLayout layout = layouts[set];
    return layout.time(layout.slowestRank()) - limits.acceptableSkew() * idealTimes[set];
  }

  private void apply(int set, LayoutChange change) {
    SetLayout layout = layouts[set];
    int[] affectedRanks =
        change.relocations().stream()
            .flatMapToInt(relocation -> IntStream.of(relocation.from(), relocation.to()))
            .filter(rank -> rank != SetLayout.NONE)
            .distinct()
            .toArray();
    Arrays.stream(affectedRanks).forEach(rank -> fetchedByRank[rank] -= layout.fetched(rank));
    change.apply(layout);
    Arrays.stream(affectedRanks).forEach(rank -> fetchedByRank[rank] += layout.fetched(rank));
  }

  private boolean mayFetch(int rank) {
    return fetchedByRank[rank] < fetchesAllowed;
  }
}
