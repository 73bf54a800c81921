package dev.ibishub.core.internal.experts;

import java.util.Arrays;
import java.util.Comparator;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * Load of the ranks in one layer under a placement, and the move that relieves the slowest rank
 * most per expert fetched. Tokens of an expert spread evenly over its replicas. Not thread-safe.
 */
public final class LayerLoad {
  private static final int LIGHT_RANK_CANDIDATES = 8;
  private static final int DONOR_CANDIDATES = 8;
  private static final int NONE = -1;

  private final int slots;
  private final int ranks;
  private final short[] experts;
  private final int offset;
  private final double[] popularity;
  private final double[] slowness;
  private final int[] replicas;
  private final double[] loads;

  /**
   * Creates the load of one layer.
   *
   * @param experts the expert in each slot of all layers; modified by {@link #apply}
   * @param layer the layer's number, from 0
   * @param slots number of slots of a rank
   * @param popularity tokens in a step, by expert
   * @param slowness relative time for a token, by rank
   */
  public LayerLoad(short[] experts, int layer, int slots, double[] popularity, double[] slowness) {
    this.slots = slots;
    this.ranks = slowness.length;
    this.experts = experts;
    this.offset = layer * ranks * slots;
    this.popularity = popularity;
    this.slowness = slowness;
    this.replicas = new int[popularity.length];
    this.loads = new double[ranks];
    IntStream.range(0, ranks * slots).forEach(i -> replicas[experts[offset + i]]++);
    IntStream.range(0, ranks * slots).forEach(i -> loads[i / slots] += share(experts[offset + i]));
  }

  /**
   * Move of the expert in one slot to another slot, either by a swap or as a replica that replaces
   * a spare replica of another expert.
   *
   * @param from the slot to relieve
   * @param to the slot that receives its expert
   * @param swap whether the slots swap their experts; if not, {@code to} gives up a replica
   * @param gain reduction of the layer's time
   */
  public record Move(int from, int to, boolean swap, double gain) {
    /** Returns the number of experts to fetch. */
    public int fetches() {
      return swap ? 2 : 1;
    }

    /** Returns the reduction of the layer's time for each expert fetched. */
    public double gainPerFetch() {
      return gain / fetches();
    }
  }

  /** Returns the time of the slowest rank. */
  public double slowestTime() {
    return IntStream.range(0, ranks).mapToDouble(this::time).max().orElse(0);
  }

  /** Returns the time of every rank under a perfect balance, a lower bound for any placement. */
  public double idealTime() {
    double totalSpeed = Arrays.stream(slowness).map(each -> 1 / each).sum();
    return Arrays.stream(popularity).sum() / totalSpeed;
  }

  /** Returns the move with the highest gain per fetch, or empty when no move gains. */
  public Optional<Move> bestMove() {
    int heavyRank = IntStream.range(0, ranks).reduce(0, (a, b) -> time(b) > time(a) ? b : a);
    double slowestTimeBefore = time(heavyRank);
    int[] lightRanks =
        IntStream.range(0, ranks)
            .boxed()
            .sorted((a, b) -> Double.compare(time(a), time(b)))
            .limit(LIGHT_RANK_CANDIDATES)
            .mapToInt(Integer::intValue)
            .toArray();
    double secondSlowestTime =
        IntStream.range(0, ranks)
            .filter(rank -> rank != heavyRank)
            .mapToDouble(this::time)
            .max()
            .orElse(0);
    int[] donors = cheapestDonorSlots();
    Move best = new Move(NONE, NONE, false, 0);
    for (int from = heavyRank * slots; from < (heavyRank + 1) * slots; from++) {
      double secondTimeWithReplica = secondTimeWithReplica(expertAt(from), heavyRank);
      for (int rank : lightRanks) {
        for (int to = rank * slots; to < (rank + 1) * slots; to++) {
          best = higherGainPerFetch(best, swap(from, to, slowestTimeBefore, secondSlowestTime));
          best =
              higherGainPerFetch(
                  best, replicate(from, to, slowestTimeBefore, secondTimeWithReplica));
        }
      }
      for (int to : donors) {
        best =
            higherGainPerFetch(best, replicate(from, to, slowestTimeBefore, secondTimeWithReplica));
      }
    }
    return best.gain() > 0 ? Optional.of(best) : Optional.empty();
  }

  /**
   * Returns the slots whose expert has a spare replica and would have the smallest share on each of
   * its other replicas.
   */
  private int[] cheapestDonorSlots() {
    return IntStream.range(0, ranks * slots)
        .filter(slot -> replicas[expertAt(slot)] > 1)
        .boxed()
        .sorted(Comparator.comparingDouble(this::shareAfterRemoval))
        .limit(DONOR_CANDIDATES)
        .mapToInt(Integer::intValue)
        .toArray();
  }

  private double shareAfterRemoval(int slot) {
    int expert = expertAt(slot);
    return popularity[expert] / (replicas[expert] - 1);
  }

  // Another replica relieves every rank that holds the expert, not only the slowest one. If two
  // ranks are equally slow because of the same expert, only this shows a gain.
  private double secondTimeWithReplica(int expert, int heavyRank) {
    double shareReduction = share(expert) - popularity[expert] / (replicas[expert] + 1);
    return IntStream.range(0, ranks)
        .filter(rank -> rank != heavyRank)
        .mapToDouble(
            rank -> time(rank) - (holds(rank, expert) ? shareReduction * slowness[rank] : 0))
        .max()
        .orElse(0);
  }

  /** Applies a move to the placement and the loads. */
  public void apply(Move move) {
    int movedExpert = expertAt(move.from());
    int otherExpert = expertAt(move.to());
    if (move.swap()) {
      changeLoad(move.from() / slots, share(otherExpert) - share(movedExpert));
      changeLoad(move.to() / slots, share(movedExpert) - share(otherExpert));
      experts[offset + move.from()] = (short) otherExpert;
      experts[offset + move.to()] = (short) movedExpert;
      return;
    }
    changeLoad(move.to() / slots, -share(otherExpert));
    experts[offset + move.to()] = (short) movedExpert;
    changeReplicas(otherExpert, -1, move.to());
    changeReplicas(movedExpert, 1, move.to());
    changeLoad(move.to() / slots, share(movedExpert));
  }

  private void changeReplicas(int expert, int change, int except) {
    double old = share(expert);
    replicas[expert] += change;
    double loadChange = share(expert) - old;
    IntStream.range(0, ranks * slots)
        .filter(slot -> slot != except && expertAt(slot) == expert)
        .forEach(slot -> changeLoad(slot / slots, loadChange));
  }

  private Move swap(int from, int to, double slowestTimeBefore, double secondSlowestTime) {
    int movedExpert = expertAt(from);
    int otherExpert = expertAt(to);
    int heavyRank = from / slots;
    int lightRank = to / slots;
    if (heavyRank == lightRank
        || movedExpert == otherExpert
        || holds(lightRank, movedExpert)
        || holds(heavyRank, otherExpert)) {
      return new Move(from, to, true, 0);
    }
    double loadChange = share(movedExpert) - share(otherExpert);
    double after =
        Math.max(
            (loads[heavyRank] - loadChange) * slowness[heavyRank],
            (loads[lightRank] + loadChange) * slowness[lightRank]);
    return new Move(from, to, true, slowestTimeBefore - Math.max(after, secondSlowestTime));
  }

  private Move replicate(int from, int to, double slowestTimeBefore, double secondSlowestTime) {
    int movedExpert = expertAt(from);
    int replacedExpert = expertAt(to);
    int heavyRank = from / slots;
    int lightRank = to / slots;
    if (heavyRank == lightRank
        || movedExpert == replacedExpert
        || replicas[replacedExpert] < 2
        || holds(lightRank, movedExpert)) {
      return new Move(from, to, false, 0);
    }
    double movedShareAfter = popularity[movedExpert] / (replicas[movedExpert] + 1);
    double replacedShareRise =
        popularity[replacedExpert] / (replicas[replacedExpert] - 1) - share(replacedExpert);
    double after = (loads[heavyRank] - share(movedExpert) + movedShareAfter) * slowness[heavyRank];
    after =
        Math.max(
            after,
            (loads[lightRank] - share(replacedExpert) + movedShareAfter) * slowness[lightRank]);
    for (int slot = 0; slot < ranks * slots; slot++) {
      if (slot != to && expertAt(slot) == replacedExpert) {
        after = Math.max(after, (loads[slot / slots] + replacedShareRise) * slowness[slot / slots]);
      }
    }
    boolean heavyRankHoldsReplaced = holds(heavyRank, replacedExpert);
    return new Move(
        from,
        to,
        false,
        heavyRankHoldsReplaced ? 0 : slowestTimeBefore - Math.max(after, secondSlowestTime));
  }

  private static Move higherGainPerFetch(Move best, Move candidate) {
    return candidate.gain() > 0 && candidate.gainPerFetch() > best.gainPerFetch()
        ? candidate
        : best;
  }

  private boolean holds(int rank, int expert) {
    return IntStream.range(rank * slots, (rank + 1) * slots)
        .anyMatch(slot -> expertAt(slot) == expert);
  }

  private int expertAt(int slot) {
    return experts[offset + slot];
  }

  private double share(int expert) {
    return popularity[expert] / replicas[expert];
  }

  private double time(int rank) {
    return loads[rank] * slowness[rank];
  }

  private void changeLoad(int rank, double loadChange) {
    loads[rank] += loadChange;
  }
}
