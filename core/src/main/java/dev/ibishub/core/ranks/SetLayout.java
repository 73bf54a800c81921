package dev.ibishub.core.ranks;

import java.util.Arrays;
import java.util.stream.IntStream;

/**
 * Which ranks hold which experts of one set while a plan is made, and how long each rank's part of
 * the set takes. Not thread-safe.
 */
final class SetLayout {
  /** Stands for no expert and for no rank. */
  static final int NONE = -1;

  private static final int USUAL_COPIES = 4;

  private final double[] demand;
  private final double[] slowness;
  private final int places;
  private final int[][] before;

  /** Experts of each rank; of a row the first {@link #held} count. */
  private final int[][] expertsOf;

  private final int[] held;

  /** Ranks that hold each expert; of a row the first {@link #copies} count. */
  private final int[][] holdersOf;

  private final int[] copies;
  private final int[] fetched;
  private final double[] time;

  /** The ranks in the order of their times, as of the last sorting. */
  private final int[] order;

  /** The slowest rank, or {@link #NONE} where it has to be looked for. */
  private int slowest = NONE;

  /**
   * Creates the layout of a set as it is.
   *
   * @param before experts by rank
   * @param demand tokens by expert
   * @param slowness time that each rank takes for a token
   * @param places the most experts that a rank holds
   */
  SetLayout(int[][] before, double[] demand, double[] slowness, int places) {
    this.demand = demand;
    this.slowness = slowness;
    this.places = Math.max(places, mostHeld(before));
    this.before = before;
    this.expertsOf = new int[before.length][this.places];
    this.held = new int[before.length];
    this.holdersOf = new int[demand.length][USUAL_COPIES];
    this.copies = new int[demand.length];
    this.fetched = new int[before.length];
    this.time = new double[before.length];
    this.order = IntStream.range(0, before.length).toArray();
    for (int rank = 0; rank < before.length; rank++) {
      for (int expert : before[rank]) {
        link(rank, expert);
      }
    }
    for (int rank = 0; rank < before.length; rank++) {
      computeTime(rank);
    }
  }

  /** Returns a copy of the experts by rank, in the order of their numbers. */
  int[][] experts() {
    return IntStream.range(0, ranks())
        .mapToObj(rank -> Arrays.stream(expertsOf[rank], 0, held[rank]).sorted().toArray())
        .toArray(int[][]::new);
  }

  int ranks() {
    return expertsOf.length;
  }

  /** Returns how many experts a rank holds. */
  int held(int rank) {
    return held[rank];
  }

  /** Returns one of the experts that a rank holds. */
  int expertAt(int rank, int place) {
    return expertsOf[rank][place];
  }

  int copies(int expert) {
    return copies[expert];
  }

  int holder(int expert, int copy) {
    return holdersOf[expert][copy];
  }

  boolean hasFreePlace(int rank) {
    return held[rank] < places;
  }

  boolean holds(int rank, int expert) {
    int[] row = expertsOf[rank];
    for (int place = 0; place < held[rank]; place++) {
      if (row[place] == expert) {
        return true;
      }
    }
    return false;
  }

  /** Whether a rank would have to fetch an expert. */
  boolean needsFetch(int rank, int expert) {
    for (int own : before[rank]) {
      if (own == expert) {
        return false;
      }
    }
    return true;
  }

  /** Returns how many experts that a rank holds have to be fetched by it. */
  int fetched(int rank) {
    return fetched[rank];
  }

  /** Returns the tokens of an expert that each of a number of copies gets. */
  double share(int expert, int numberOfCopies) {
    return demand[expert] / numberOfCopies;
  }

  double slowness(int rank) {
    return slowness[rank];
  }

  /** Returns how long a rank's part of the set takes. */
  double time(int rank) {
    return time[rank];
  }

  /** Puts the ranks in the order of their times; a change moves few of them. */
  void sortRanks() {
    for (int next = 1; next < order.length; next++) {
      int rank = order[next];
      int place = next;
      while (place > 0 && time[order[place - 1]] > time[rank]) {
        order[place] = order[place - 1];
        place--;
      }
      order[place] = rank;
    }
  }

  /** Returns a rank by its place in the order of times as last sorted, the fastest at 0. */
  int rankInOrder(int place) {
    return order[place];
  }

  /** Returns the rank whose part takes longest; looked for once after each change. */
  int slowestRank() {
    if (slowest == NONE) {
      slowest = 0;
      for (int rank = 1; rank < time.length; rank++) {
        slowest = time[rank] > time[slowest] ? rank : slowest;
      }
    }
    return slowest;
  }

  void take(int rank, int expert) {
    link(rank, expert);
    fetched[rank] += needsFetch(rank, expert) ? 1 : 0;
    computeTimes(expert);
  }

  void giveUp(int rank, int expert) {
    remove(expertsOf[rank], held[rank], expert);
    held[rank]--;
    remove(holdersOf[expert], copies[expert], rank);
    copies[expert]--;
    fetched[rank] -= needsFetch(rank, expert) ? 1 : 0;
    computeTime(rank);
    computeTimes(expert);
  }

  private void link(int rank, int expert) {
    expertsOf[rank][held[rank]] = expert;
    held[rank]++;
    if (copies[expert] == holdersOf[expert].length) {
      holdersOf[expert] = Arrays.copyOf(holdersOf[expert], 2 * copies[expert]);
    }
    holdersOf[expert][copies[expert]] = rank;
    copies[expert]++;
  }

  private static void remove(int[] row, int length, int value) {
    int place = 0;
    while (row[place] != value) {
      place++;
    }
    row[place] = row[length - 1];
  }

  private void computeTimes(int expert) {
    for (int copy = 0; copy < copies[expert]; copy++) {
      computeTime(holdersOf[expert][copy]);
    }
  }

  private void computeTime(int rank) {
    double tokens = 0;
    for (int place = 0; place < held[rank]; place++) {
      int expert = expertsOf[rank][place];
      tokens += share(expert, copies[expert]);
    }
    time[rank] = tokens * slowness[rank];
    slowest = NONE;
  }

  private static int mostHeld(int[][] experts) {
    return Arrays.stream(experts).mapToInt(row -> row.length).max().orElse(0);
  }
}
