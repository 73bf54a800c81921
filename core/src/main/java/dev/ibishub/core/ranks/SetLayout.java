package dev.ibishub.core.ranks;

import java.util.Arrays;
import java.util.stream.IntStream;

/**
 * Assignment of the experts of one layer set to ranks while a plan is made, and the resulting time
 * of each rank. Not thread-safe.
 */
final class SetLayout {
  /** Denotes the absence of an expert or a rank. */
  static final int NONE = -1;

  private static final int INITIAL_REPLICA_CAPACITY = 4;

  private final double[] demand;
  private final double[] slowness;
  private final int slots;
  private final int[][] initialExperts;

  /** Experts by rank; only the first {@link #heldCount} elements of a row are valid. */
  private final int[][] expertsByRank;

  private final int[] heldCount;

  /**
   * Ranks that hold each expert; only the first {@link #replicaCount} elements of a row are valid.
   */
  private final int[][] holdersByExpert;

  private final int[] replicaCount;
  private final int[] fetched;
  private final double[] time;

  /** Ranks by ascending time, as of the last call of {@link #sortRanksByTime}. */
  private final int[] ranksByTime;

  /** The slowest rank, or {@link #NONE} if it must be recomputed. */
  private int cachedSlowestRank = NONE;

  /**
   * Creates the layout of a layer set from the map in use.
   *
   * @param initialExperts experts, by rank
   * @param demand tokens, by expert
   * @param slowness relative time for a token, by rank
   * @param slots maximum number of experts that a rank holds; raised to the number already held
   */
  SetLayout(int[][] initialExperts, double[] demand, double[] slowness, int slots) {
    this.demand = demand;
    this.slowness = slowness;
    this.slots = Math.max(slots, maximumHeld(initialExperts));
    this.initialExperts = initialExperts;
    this.expertsByRank = new int[initialExperts.length][this.slots];
    this.heldCount = new int[initialExperts.length];
    this.holdersByExpert = new int[demand.length][INITIAL_REPLICA_CAPACITY];
    this.replicaCount = new int[demand.length];
    this.fetched = new int[initialExperts.length];
    this.time = new double[initialExperts.length];
    this.ranksByTime = IntStream.range(0, initialExperts.length).toArray();
    for (int rank = 0; rank < initialExperts.length; rank++) {
      for (int expert : initialExperts[rank]) {
        addHolding(rank, expert);
      }
    }
    for (int rank = 0; rank < initialExperts.length; rank++) {
      computeTime(rank);
    }
  }

  /** Returns a copy of the experts by rank, in ascending order. */
  int[][] experts() {
    return IntStream.range(0, ranks())
        .mapToObj(rank -> Arrays.stream(expertsByRank[rank], 0, heldCount[rank]).sorted().toArray())
        .toArray(int[][]::new);
  }

  int ranks() {
    return expertsByRank.length;
  }

  /** Returns the number of experts that a rank holds. */
  int heldCount(int rank) {
    return heldCount[rank];
  }

  /** Returns the expert in a slot of a rank. */
  int expertAt(int rank, int slot) {
    return expertsByRank[rank][slot];
  }

  int replicaCount(int expert) {
    return replicaCount[expert];
  }

  int holder(int expert, int replica) {
    return holdersByExpert[expert][replica];
  }

  boolean hasFreeSlot(int rank) {
    return heldCount[rank] < slots;
  }

  boolean holds(int rank, int expert) {
    int[] row = expertsByRank[rank];
    for (int slot = 0; slot < heldCount[rank]; slot++) {
      if (row[slot] == expert) {
        return true;
      }
    }
    return false;
  }

  /** Whether a rank would have to fetch an expert, as it did not hold it initially. */
  boolean needsFetch(int rank, int expert) {
    for (int initial : initialExperts[rank]) {
      if (initial == expert) {
        return false;
      }
    }
    return true;
  }

  /** Returns the number of experts that a rank holds now and must fetch. */
  int fetched(int rank) {
    return fetched[rank];
  }

  /** Returns the tokens that each replica of an expert gets, given the number of replicas. */
  double share(int expert, int replicas) {
    return demand[expert] / replicas;
  }

  double slowness(int rank) {
    return slowness[rank];
  }

  /** Returns the time of a rank's part of the layer set. */
  double time(int rank) {
    return time[rank];
  }

  /** Sorts the ranks by time, with an insertion sort because a change moves few of them. */
  void sortRanksByTime() {
    for (int next = 1; next < ranksByTime.length; next++) {
      int rank = ranksByTime[next];
      int position = next;
      while (position > 0 && time[ranksByTime[position - 1]] > time[rank]) {
        ranksByTime[position] = ranksByTime[position - 1];
        position--;
      }
      ranksByTime[position] = rank;
    }
  }

  /** Returns the rank at a position in the order of the last sort, the fastest at 0. */
  int rankByTime(int position) {
    return ranksByTime[position];
  }

  /** Returns the slowest rank, which is computed once after each change. */
  int slowestRank() {
    if (cachedSlowestRank == NONE) {
      cachedSlowestRank = 0;
      for (int rank = 1; rank < time.length; rank++) {
        cachedSlowestRank = time[rank] > time[cachedSlowestRank] ? rank : cachedSlowestRank;
      }
    }
    return cachedSlowestRank;
  }

  void add(int rank, int expert) {
    addHolding(rank, expert);
    fetched[rank] += needsFetch(rank, expert) ? 1 : 0;
    computeTimes(expert);
  }

  void drop(int rank, int expert) {
    remove(expertsByRank[rank], heldCount[rank], expert);
    heldCount[rank]--;
    remove(holdersByExpert[expert], replicaCount[expert], rank);
    replicaCount[expert]--;
    fetched[rank] -= needsFetch(rank, expert) ? 1 : 0;
    computeTime(rank);
    computeTimes(expert);
  }

  private void addHolding(int rank, int expert) {
    expertsByRank[rank][heldCount[rank]] = expert;
    heldCount[rank]++;
    if (replicaCount[expert] == holdersByExpert[expert].length) {
      holdersByExpert[expert] = Arrays.copyOf(holdersByExpert[expert], 2 * replicaCount[expert]);
    }
    holdersByExpert[expert][replicaCount[expert]] = rank;
    replicaCount[expert]++;
  }

  private static void remove(int[] row, int length, int value) {
    int position = 0;
    while (row[position] != value) {
      position++;
    }
    row[position] = row[length - 1];
  }

  private void computeTimes(int expert) {
    for (int replica = 0; replica < replicaCount[expert]; replica++) {
      computeTime(holdersByExpert[expert][replica]);
    }
  }

  private void computeTime(int rank) {
    double tokens = 0;
    for (int slot = 0; slot < heldCount[rank]; slot++) {
      int expert = expertsByRank[rank][slot];
      tokens += share(expert, replicaCount[expert]);
    }
    time[rank] = tokens * slowness[rank];
    cachedSlowestRank = NONE;
  }

  private static int maximumHeld(int[][] experts) {
    return Arrays.stream(experts).mapToInt(row -> row.length).max().orElse(0);
  }
}
