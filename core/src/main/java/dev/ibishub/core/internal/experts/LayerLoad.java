package dev.ibishub.core.internal.experts;

import java.util.Arrays;
import java.util.Comparator;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * The load of one layer's ranks under a placement, and the move that relieves the slowest rank most
 * for each expert fetched. Tokens of an expert spread evenly over its replicas. Not thread-safe.
 */
public final class LayerLoad {
  private static final int LIGHT_RANKS_TRIED = 8;
  private static final int DONORS_TRIED = 8;
  private static final int NONE = -1;

  private final int slots;
  private final int ranks;
  private final short[] experts;
  private final int offset;
  private final double[] popularity;
  private final double[] slowness;
  private final int[] replicas;
  private final double[] load;

  /**
   * Takes a layer in.
   *
   * @param experts the expert of each slot of all layers; changed by {@link #apply}
   * @param layer the layer's number
   * @param slots slots a rank
   * @param popularity tokens a step for each expert
   * @param slowness time for each token at each rank
   */
  public LayerLoad(short[] experts, int layer, int slots, double[] popularity, double[] slowness) {
    this.slots = slots;
    this.ranks = slowness.length;
    this.experts = experts;
    this.offset = layer * ranks * slots;
    this.popularity = popularity;
    this.slowness = slowness;
    this.replicas = new int[popularity.length];
    this.load = new double[ranks];
    IntStream.range(0, ranks * slots).forEach(i -> replicas[experts[offset + i]]++);
    IntStream.range(0, ranks * slots).forEach(i -> load[i / slots] += share(experts[offset + i]));
  }

  /**
   * A move: the expert of one slot goes to another, which gives its own in exchange or loses a
   * replica.
   *
   * @param from the slot relieved
   * @param to the slot that takes its expert
   * @param swap whether the slots exchange their experts, else {@code to} drops a replica
   * @param gain by how much the layer's time falls
   */
  public record Move(int from, int to, boolean swap, double gain) {
    /** How many experts must be fetched. */
    public int fetches() {
      return swap ? 2 : 1;
    }

    /** Time gained for each expert fetched. */
    public double gainPerFetch() {
      return gain / fetches();
    }
  }

  /** Returns the time of the slowest rank. */
  public double slowest() {
    return IntStream.range(0, ranks).mapToDouble(this::time).max().orElse(0);
  }

  /** Returns the time that all ranks would take under a perfect balance: no placement beats it. */
  public double ideal() {
    double speed = Arrays.stream(slowness).map(each -> 1 / each).sum();
    return Arrays.stream(popularity).sum() / speed;
  }

  /** Finds the move that gains most for each expert fetched, or empty when none gains. */
  public Optional<Move> bestMove() {
    int heavy = IntStream.range(0, ranks).reduce(0, (a, b) -> time(b) > time(a) ? b : a);
    double before = time(heavy);
    int[] light =
        IntStream.range(0, ranks)
            .boxed()
            .sorted((a, b) -> Double.compare(time(a), time(b)))
            .limit(LIGHT_RANKS_TRIED)
            .mapToInt(Integer::intValue)
            .toArray();
    double second =
        IntStream.range(0, ranks)
            .filter(rank -> rank != heavy)
            .mapToDouble(this::time)
            .max()
            .orElse(0);
    int[] donors = donors();
    Move best = new Move(NONE, NONE, false, 0);
    for (int from = heavy * slots; from < (heavy + 1) * slots; from++) {
      double secondWithReplica = secondWithReplica(expertAt(from), heavy);
      for (int rank : light) {
        for (int to = rank * slots; to < (rank + 1) * slots; to++) {
          best = better(best, swap(from, to, before, second));
          best = better(best, replicate(from, to, before, secondWithReplica));
        }
      }
      for (int to : donors) {
        best = better(best, replicate(from, to, before, secondWithReplica));
      }
    }
    return best.gain() > 0 ? Optional.of(best) : Optional.empty();
  }

  /** The slots whose expert has replicas to spare and is missed least. */
  private int[] donors() {
    return IntStream.range(0, ranks * slots)
        .filter(slot -> replicas[expertAt(slot)] > 1)
        .boxed()
        .sorted(Comparator.comparingDouble(this::shareWithoutOne))
        .limit(DONORS_TRIED)
        .mapToInt(Integer::intValue)
        .toArray();
  }

  private double shareWithoutOne(int slot) {
    int expert = expertAt(slot);
    return popularity[expert] / (replicas[expert] - 1);
  }

  // One more replica relieves every rank that holds the expert, not only the slowest: where two are
  // equally slow for the same expert, nothing else shows a gain.
  private double secondWithReplica(int expert, int heavy) {
    double relief = share(expert) - popularity[expert] / (replicas[expert] + 1);
    return IntStream.range(0, ranks)
        .filter(rank -> rank != heavy)
        .mapToDouble(rank -> time(rank) - (holds(rank, expert) ? relief * slowness[rank] : 0))
        .max()
        .orElse(0);
  }

  /** Makes a move. */
  public void apply(Move move) {
    int a = expertAt(move.from());
    int b = expertAt(move.to());
    if (move.swap()) {
      changeLoad(move.from() / slots, share(b) - share(a));
      changeLoad(move.to() / slots, share(a) - share(b));
      experts[offset + move.from()] = (short) b;
      experts[offset + move.to()] = (short) a;
      return;
    }
    changeLoad(move.to() / slots, -share(b));
    experts[offset + move.to()] = (short) a;
    changeReplicas(b, -1, move.to());
    changeReplicas(a, 1, move.to());
    changeLoad(move.to() / slots, share(a));
  }

  private void changeReplicas(int expert, int change, int except) {
    double old = share(expert);
    replicas[expert] += change;
    double difference = share(expert) - old;
    IntStream.range(0, ranks * slots)
        .filter(slot -> slot != except && expertAt(slot) == expert)
        .forEach(slot -> changeLoad(slot / slots, difference));
  }

  private Move swap(int from, int to, double before, double second) {
    int a = expertAt(from);
    int b = expertAt(to);
    int heavy = from / slots;
    int light = to / slots;
    if (heavy == light || a == b || holds(light, a) || holds(heavy, b)) {
      return new Move(from, to, true, 0);
    }
    double difference = share(a) - share(b);
    double after =
        Math.max(
            (load[heavy] - difference) * slowness[heavy],
            (load[light] + difference) * slowness[light]);
    return new Move(from, to, true, before - Math.max(after, second));
  }

  private Move replicate(int from, int to, double before, double second) {
    int a = expertAt(from);
    int b = expertAt(to);
    int heavy = from / slots;
    int light = to / slots;
    if (heavy == light || a == b || replicas[b] < 2 || holds(light, a)) {
      return new Move(from, to, false, 0);
    }
    double shareOfA = popularity[a] / (replicas[a] + 1);
    double riseOfB = popularity[b] / (replicas[b] - 1) - share(b);
    double after = (load[heavy] - share(a) + shareOfA) * slowness[heavy];
    after = Math.max(after, (load[light] - share(b) + shareOfA) * slowness[light]);
    for (int slot = 0; slot < ranks * slots; slot++) {
      if (slot != to && expertAt(slot) == b) {
        after = Math.max(after, (load[slot / slots] + riseOfB) * slowness[slot / slots]);
      }
    }
    boolean heavyHoldsB = holds(heavy, b);
    return new Move(from, to, false, heavyHoldsB ? 0 : before - Math.max(after, second));
  }

  private static Move better(Move best, Move next) {
    return next.gain() > 0 && next.gainPerFetch() > best.gainPerFetch() ? next : best;
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
    return load[rank] * slowness[rank];
  }

  private void changeLoad(int rank, double difference) {
    load[rank] += difference;
  }
}
