package dev.ibishub.core.ranks;

import dev.ibishub.core.ranks.LayoutChange.Relocation;
import java.util.List;
import java.util.Optional;
import java.util.function.IntPredicate;

/**
 * Looks for the change that best relieves the slowest rank of a set. One of its experts is copied
 * or moved to another rank, which may make room for it: it gives up a copy that can be spared,
 * sends one of its own back, or sends one on to a third rank. Or the slowest rank gives up a copy.
 * Not thread-safe.
 *
 * <p>A change counts by what it takes off the slowest rank without making another one as slow, for
 * each expert that has to be fetched. So the times of all ranks in falling order become smaller
 * with every change, and the search ends.
 */
final class ChangeSearch {
  /**
   * Part of the slowest time that a change has to take off; less may be rounding, and changes that
   * gain nothing could follow each other without end.
   */
  private static final double LEAST_GAIN = 1e-6;

  /**
   * Ranks that are tried as takers, those that are done first; all are tried only where none of
   * these helps. It bounds the work of a plan as groups grow.
   */
  private static final int TAKERS_TRIED = 24;

  private final SetLayout layout;
  private final int newPerSet;
  private final IntPredicate mayFetchMore;

  /** The rank that is to be relieved, and how long it takes. */
  private int slow;

  private double slowestNow;

  /** The fastest rank that could take an expert which another sends on, or none. */
  private int roomy;

  private double bestScore;
  private Optional<LayoutChange> best = Optional.empty();

  /**
   * Creates a search.
   *
   * @param newPerSet the most experts of the set that a rank may fetch
   * @param mayFetchMore whether a rank may fetch one more expert, counting all sets
   */
  ChangeSearch(SetLayout layout, int newPerSet, IntPredicate mayFetchMore) {
    this.layout = layout;
    this.newPerSet = newPerSet;
    this.mayFetchMore = mayFetchMore;
  }

  /** Returns the best change, or empty when nothing relieves the slowest rank. */
  Optional<LayoutChange> find() {
    layout.sortRanks();
    slow = layout.slowestRank();
    slowestNow = layout.time(slow);
    roomy = fastestWithRoom();
    bestScore = LEAST_GAIN * slowestNow;
    best = Optional.empty();
    tryTakers(0, Math.min(TAKERS_TRIED, layout.ranks()));
    if (best.isEmpty()) {
      tryTakers(TAKERS_TRIED, layout.ranks());
    }
    return best;
  }

  /** Tries the ranks whose places in the order of their times are within a range. */
  private void tryTakers(int first, int end) {
    for (int place = 0; place < layout.held(slow); place++) {
      int expert = layout.expertAt(slow, place);
      if (first == 0 && layout.copies(expert) > 1) {
        tryDrop(expert);
      }
      for (int order = first; order < end; order++) {
        int to = layout.rankInOrder(order);
        if (layout.time(to) < slowestNow && mayTake(to, expert)) {
          tryPlacing(expert, to);
        }
      }
    }
  }

  /** The rank with a free place that is done first, of those that may fetch. */
  private int fastestWithRoom() {
    for (int order = 0; order < layout.ranks(); order++) {
      int rank = layout.rankInOrder(order);
      if (layout.hasFreePlace(rank)
          && layout.fetched(rank) < newPerSet
          && mayFetchMore.test(rank)) {
        return rank;
      }
    }
    return SetLayout.NONE;
  }

  private boolean mayTake(int rank, int expert) {
    return !layout.holds(rank, expert)
        && (!layout.needsFetch(rank, expert)
            || (layout.fetched(rank) < newPerSet && mayFetchMore.test(rank)));
  }

  /** The other ranks that hold the expert take its tokens over. */
  private void tryDrop(int expert) {
    double here = slowestNow - tokens(expert) * layout.slowness(slow);
    double slowest = Math.max(here, slowestAfterLoss(expert, slow));
    propose(slowest, new Relocation(expert, slow, SetLayout.NONE));
  }

  /** The expert goes to another rank, as a further copy or wholly. */
  private void tryPlacing(int expert, int to) {
    double moved = tokens(expert);
    double copied = layout.share(expert, layout.copies(expert) + 1);
    double hereIfMoved = slowestNow - moved * layout.slowness(slow);
    double hereIfCopied = slowestNow - (moved - copied) * layout.slowness(slow);
    // A rank with places left keeps what it has, which also serves a demand that shifts back.
    if (!layout.hasFreePlace(slow)) {
      tryRoom(new Relocation(expert, slow, to), hereIfMoved, moved);
    }
    tryRoom(new Relocation(expert, SetLayout.NONE, to), hereIfCopied, copied);
  }

  /**
   * Looks for the best way for a rank to take an expert.
   *
   * @param placing what it takes
   * @param here how long the relieved rank takes then
   * @param more the tokens that the rank takes on
   */
  private void tryRoom(Relocation placing, double here, double more) {
    int to = placing.to();
    double there = layout.time(to) + more * layout.slowness(to);
    boolean hasFreePlace = layout.hasFreePlace(to);
    if (!isWorthALook(here)) {
      return;
    }
    if (hasFreePlace) {
      propose(Math.max(here, there), placing);
    }
    for (int place = 0; place < layout.held(to); place++) {
      int other = layout.expertAt(to, place);
      double slowest = Math.max(here, there - tokens(other) * layout.slowness(to));
      if (!isWorthALook(slowest)) {
        continue;
      }
      if (layout.copies(other) > 1) {
        double others = slowestAfterLoss(other, to);
        propose(Math.max(slowest, others), placing, other, to, SetLayout.NONE);
      }
      if (placing.from() == slow && mayTake(slow, other)) {
        double back = here + tokens(other) * layout.slowness(slow);
        propose(Math.max(slowest, back), placing, other, to, slow);
      }
      if (roomy != SetLayout.NONE && roomy != to && roomy != slow && mayTake(roomy, other)) {
        double onward = layout.time(roomy) + tokens(other) * layout.slowness(roomy);
        propose(Math.max(slowest, onward), placing, other, to, roomy);
      }
    }
  }

  /** Tokens of an expert that each rank with a copy gets now. */
  private double tokens(int expert) {
    return layout.share(expert, layout.copies(expert));
  }

  /** Whether a change with such an outcome could be the best, were it free of fetches. */
  private boolean isWorthALook(double slowest) {
    return slowestNow - slowest > bestScore;
  }

  /** How long the slowest other holder of a copy takes when one rank gives its copy up. */
  private double slowestAfterLoss(int expert, int loser) {
    double more = layout.share(expert, layout.copies(expert) - 1) - tokens(expert);
    double slowest = 0;
    for (int copy = 0; copy < layout.copies(expert); copy++) {
      int rank = layout.holder(expert, copy);
      if (rank != loser) {
        slowest = Math.max(slowest, layout.time(rank) + more * layout.slowness(rank));
      }
    }
    return slowest;
  }

  private void propose(double slowest, Relocation placing) {
    propose(slowest, placing, SetLayout.NONE, SetLayout.NONE, SetLayout.NONE);
  }

  /** Notes a change that is the best so far; its second part is spelled out, as most aren't. */
  private void propose(double slowest, Relocation placing, int other, int from, int to) {
    if (!isWorthALook(slowest)) {
      return;
    }
    int fetches = fetches(placing.to(), placing.expert()) + fetches(to, other);
    double score = (slowestNow - slowest) / Math.max(1, fetches);
    if (score <= bestScore) {
      return;
    }
    bestScore = score;
    List<Relocation> relocations =
        other == SetLayout.NONE
            ? List.of(placing)
            : List.of(placing, new Relocation(other, from, to));
    best = Optional.of(new LayoutChange(relocations));
  }

  private int fetches(int rank, int expert) {
    return rank != SetLayout.NONE && layout.needsFetch(rank, expert) ? 1 : 0;
  }
}
