package dev.ibishub.core.ranks;

import dev.ibishub.core.ranks.LayoutChange.Relocation;
import java.util.List;
import java.util.Optional;
import java.util.function.IntPredicate;

/**
 * Search for the change that best relieves the slowest rank in a layer set. One of its experts is
 * replicated on or moved to another rank, which may make room by dropping a spare replica, by
 * sending one of its own experts back, or by sending one on to a third rank. Alternatively, the
 * slowest rank drops a replica. Not thread-safe.
 *
 * <p>The score of a change is the reduction of the slowest rank's time per expert to fetch,
 * provided that no other rank becomes as slow. The list of all ranks' times in descending order
 * therefore decreases with every change, so a series of searches terminates.
 */
final class ChangeSearch {
  /**
   * Minimum gain as a fraction of the slowest time. Anything less may be a rounding error, and
   * changes without gain could follow each other endlessly.
   */
  private static final double MINIMUM_GAIN_FRACTION = 1e-6;

  /**
   * Number of destination ranks tried first, the fastest ones; the others are tried only if none of
   * these helps. It bounds the work of a plan as groups grow.
   */
  private static final int DESTINATION_CANDIDATES = 24;

  private final SetLayout layout;
  private final int maximumFetchesPerSet;
  private final IntPredicate mayFetchMore;

  /** The slowest rank, which is to be relieved. */
  private int slowestRank;

  private double slowestTime;

  /**
   * The fastest rank that may take an expert sent on by another rank, or {@link SetLayout#NONE}.
   */
  private int spillRank;

  private double bestScore;
  private Optional<LayoutChange> best = Optional.empty();

  /**
   * Creates a search.
   *
   * @param layout the layout to improve
   * @param maximumFetchesPerSet maximum number of experts of the layer set that a rank may fetch
   * @param mayFetchMore whether a rank may fetch one more expert, counted over all layer sets
   */
  ChangeSearch(SetLayout layout, int maximumFetchesPerSet, IntPredicate mayFetchMore) {
    this.layout = layout;
    this.maximumFetchesPerSet = maximumFetchesPerSet;
    this.mayFetchMore = mayFetchMore;
  }

  /** Returns the best change, or empty when no change relieves the slowest rank. */
  Optional<LayoutChange> find() {
    layout.sortRanksByTime();
    slowestRank = layout.slowestRank();
    slowestTime = layout.time(slowestRank);
    spillRank = fastestRankWithFreeSlot();
    bestScore = MINIMUM_GAIN_FRACTION * slowestTime;
    best = Optional.empty();
    tryDestinations(0, Math.min(DESTINATION_CANDIDATES, layout.ranks()));
    if (best.isEmpty()) {
      tryDestinations(DESTINATION_CANDIDATES, layout.ranks());
    }
    return best;
  }

  /** Tries destination ranks in a range of positions in the order of their times. */
  private void tryDestinations(int first, int end) {
    for (int slot = 0; slot < layout.heldCount(slowestRank); slot++) {
      int expert = layout.expertAt(slowestRank, slot);
      if (first == 0 && layout.replicaCount(expert) > 1) {
        tryRemoval(expert);
      }
      for (int position = first; position < end; position++) {
        int to = layout.rankByTime(position);
        if (layout.time(to) < slowestTime && mayHold(to, expert)) {
          tryPlacement(expert, to);
        }
      }
    }
  }

  /** Returns the fastest rank that has a free slot and may fetch, or {@link SetLayout#NONE}. */
  private int fastestRankWithFreeSlot() {
    for (int position = 0; position < layout.ranks(); position++) {
      int rank = layout.rankByTime(position);
      if (layout.hasFreeSlot(rank)
          && layout.fetched(rank) < maximumFetchesPerSet
          && mayFetchMore.test(rank)) {
        return rank;
      }
    }
    return SetLayout.NONE;
  }

  private boolean mayHold(int rank, int expert) {
    return !layout.holds(rank, expert)
        && (!layout.needsFetch(rank, expert)
            || (layout.fetched(rank) < maximumFetchesPerSet && mayFetchMore.test(rank)));
  }

  /** Proposes to drop a replica, whose tokens go to the other ranks that hold the expert. */
  private void tryRemoval(int expert) {
    double sourceTime = slowestTime - tokensPerReplica(expert) * layout.slowness(slowestRank);
    double newSlowestTime = Math.max(sourceTime, slowestTimeAfterRemoval(expert, slowestRank));
    propose(newSlowestTime, new Relocation(expert, slowestRank, SetLayout.NONE));
  }

  /** Tries to move an expert to another rank, or to add a replica there. */
  private void tryPlacement(int expert, int to) {
    double movedTokens = tokensPerReplica(expert);
    double replicatedTokens = layout.share(expert, layout.replicaCount(expert) + 1);
    double sourceTimeIfMoved = slowestTime - movedTokens * layout.slowness(slowestRank);
    double sourceTimeIfReplicated =
        slowestTime - (movedTokens - replicatedTokens) * layout.slowness(slowestRank);
    // A rank with free slots keeps what it has, which also serves demand that shifts back.
    if (!layout.hasFreeSlot(slowestRank)) {
      tryMakingRoom(new Relocation(expert, slowestRank, to), sourceTimeIfMoved, movedTokens);
    }
    tryMakingRoom(
        new Relocation(expert, SetLayout.NONE, to), sourceTimeIfReplicated, replicatedTokens);
  }

  /**
   * Proposes every way for the destination rank to make room for an expert.
   *
   * @param relocation the expert's relocation
   * @param sourceTime time of the relieved rank after the relocation
   * @param addedTokens tokens that the destination takes on
   */
  private void tryMakingRoom(Relocation relocation, double sourceTime, double addedTokens) {
    int to = relocation.to();
    double destinationTime = layout.time(to) + addedTokens * layout.slowness(to);
    boolean hasFreeSlot = layout.hasFreeSlot(to);
    if (!canBeatBest(sourceTime)) {
      return;
    }
    if (hasFreeSlot) {
      propose(Math.max(sourceTime, destinationTime), relocation);
    }
    for (int slot = 0; slot < layout.heldCount(to); slot++) {
      int other = layout.expertAt(to, slot);
      double newSlowestTime =
          Math.max(sourceTime, destinationTime - tokensPerReplica(other) * layout.slowness(to));
      if (!canBeatBest(newSlowestTime)) {
        continue;
      }
      if (layout.replicaCount(other) > 1) {
        double otherHoldersTime = slowestTimeAfterRemoval(other, to);
        propose(Math.max(newSlowestTime, otherHoldersTime), relocation, other, to, SetLayout.NONE);
      }
      if (relocation.from() == slowestRank && mayHold(slowestRank, other)) {
        double sourceTimeAfterSwap =
            sourceTime + tokensPerReplica(other) * layout.slowness(slowestRank);
        propose(Math.max(newSlowestTime, sourceTimeAfterSwap), relocation, other, to, slowestRank);
      }
      if (spillRank != SetLayout.NONE
          && spillRank != to
          && spillRank != slowestRank
          && mayHold(spillRank, other)) {
        double spillTime =
            layout.time(spillRank) + tokensPerReplica(other) * layout.slowness(spillRank);
        propose(Math.max(newSlowestTime, spillTime), relocation, other, to, spillRank);
      }
    }
  }

  /** Returns the tokens of an expert that each of its replicas currently gets. */
  private double tokensPerReplica(int expert) {
    return layout.share(expert, layout.replicaCount(expert));
  }

  /** Whether a change with the given slowest time could be the best if it needed no fetch. */
  private boolean canBeatBest(double newSlowestTime) {
    return slowestTime - newSlowestTime > bestScore;
  }

  /**
   * Returns the time of the slowest remaining holder of an expert after one rank drops its replica.
   */
  private double slowestTimeAfterRemoval(int expert, int removedFrom) {
    double addedTokens =
        layout.share(expert, layout.replicaCount(expert) - 1) - tokensPerReplica(expert);
    double slowestHolderTime = 0;
    for (int replica = 0; replica < layout.replicaCount(expert); replica++) {
      int rank = layout.holder(expert, replica);
      if (rank != removedFrom) {
        slowestHolderTime =
            Math.max(slowestHolderTime, layout.time(rank) + addedTokens * layout.slowness(rank));
      }
    }
    return slowestHolderTime;
  }

  private void propose(double newSlowestTime, Relocation relocation) {
    propose(newSlowestTime, relocation, SetLayout.NONE, SetLayout.NONE, SetLayout.NONE);
  }

  /**
   * Records a change if it is the best so far. The second relocation is passed as plain values
   * because most proposals are rejected.
   */
  private void propose(double newSlowestTime, Relocation relocation, int other, int from, int to) {
    if (!canBeatBest(newSlowestTime)) {
      return;
    }
    int fetches = fetches(relocation.to(), relocation.expert()) + fetches(to, other);
    double score = (slowestTime - newSlowestTime) / Math.max(1, fetches);
    if (score <= bestScore) {
      return;
    }
    bestScore = score;
    List<Relocation> relocations =
        other == SetLayout.NONE
            ? List.of(relocation)
            : List.of(relocation, new Relocation(other, from, to));
    best = Optional.of(new LayoutChange(relocations));
  }

  private int fetches(int rank, int expert) {
    return rank != SetLayout.NONE && layout.needsFetch(rank, expert) ? 1 : 0;
  }
}
