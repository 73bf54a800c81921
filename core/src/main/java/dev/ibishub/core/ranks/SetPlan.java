package dev.ibishub.core.ranks;

import java.util.Arrays;
import java.util.stream.IntStream;

/**
 * The experts of one set while a plan is made, and the copy that helps it most. Not thread-safe.
 */
final class SetPlan {
  private static final int NONE = -1;

  private final int ranks;
  private final double[] demand;
  private final double[] slowness;
  private final PlacementLimits limits;
  private final int[] fetchedByRank;
  private final boolean[][] holds;
  private final boolean[][] heldBefore;
  private final int[] holders;

  /** Ranks that hold each expert; of a row the first {@link #holders} count. */
  private final int[][] holdersOf;

  private final int[] held;
  private final int[] fetched;
  private final double[] load;
  private final double mean;

  /** What each rank adds to the norm's sum, and the sum. */
  private final double[] power;

  private double powerSum;
  private double normNow;
  private Change best;

  /**
   * A change of what one rank holds.
   *
   * @param expert the expert that it gets, or {@link #NONE}
   * @param to the rank
   * @param instead the expert that it gives up, or {@link #NONE}
   * @param gain how much less time the heavy ranks take
   */
  record Change(int expert, int to, int instead, double gain) {}

  SetPlan(
      int[][] experts,
      double[] demand,
      double[] slowness,
      PlacementLimits limits,
      int[] fetchedByRank) {
    this.ranks = experts.length;
    this.demand = demand;
    this.slowness = slowness;
    this.limits = limits;
    this.fetchedByRank = fetchedByRank;
    this.holds = new boolean[ranks][demand.length];
    this.holders = new int[demand.length];
    this.held = new int[ranks];
    this.fetched = new int[ranks];
    this.load = new double[ranks];
    this.power = new double[ranks];
    this.holdersOf = new int[demand.length][ranks];
    for (int rank = 0; rank < ranks; rank++) {
      for (int expert : experts[rank]) {
        hold(rank, expert);
      }
    }
    this.heldBefore = Arrays.stream(holds).map(boolean[]::clone).toArray(boolean[][]::new);
    this.mean = GroupMap.leastTime(demand, slowness);
    computeLoads();
  }

  /** Returns the experts by rank. */
  int[][] experts() {
    int[][] experts = new int[ranks][];
    for (int rank = 0; rank < ranks; rank++) {
      boolean[] own = holds[rank];
      experts[rank] = IntStream.range(0, own.length).filter(e -> own[e]).toArray();
    }
    return experts;
  }

  /** Finds the change that helps most; its gain is 0 when none does. */
  Change best(int heavyRanks) {
    // What other sets fetch counts against the same limit of a rank. That only rules changes out,
    // so the best one stays the best while it is possible; looking for it anew after each fetch of
    // any set takes several times as long at 12 sets.
    if (best == null || !isPossible(best)) {
      best = find(heavyRanks);
    }
    return best;
  }

  void applyBest() {
    Change change = best;
    if (change.instead() != NONE) {
      giveUp(change.to(), change.instead());
    }
    if (change.expert() != NONE) {
      take(change.to(), change.expert());
    }
    best = null;
    computeLoads();
  }

  /** Whether a change has to be copied to its rank. */
  boolean needsFetch(Change change) {
    return change.expert() != NONE && !heldBefore[change.to()][change.expert()];
  }

  private void hold(int rank, int expert) {
    holds[rank][expert] = true;
    holdersOf[expert][holders[expert]] = rank;
    holders[expert]++;
    held[rank]++;
  }

  private void giveUp(int rank, int expert) {
    holds[rank][expert] = false;
    holders[expert]--;
    held[rank]--;
    int[] row = holdersOf[expert];
    int place = 0;
    while (row[place] != rank) {
      place++;
    }
    row[place] = row[holders[expert]];
  }

  private void take(int rank, int expert) {
    hold(rank, expert);
    if (!heldBefore[rank][expert]) {
      fetched[rank]++;
      fetchedByRank[rank]++;
    }
  }

  private Change find(int heavyRanks) {
    Change found = new Change(NONE, NONE, NONE, 0);
    if (mean <= 0 || slowest() <= limits.goodSkew() * mean) {
      return found;
    }
    for (int rank : heaviest(heavyRanks)) {
      for (int expert = 0; expert < demand.length; expert++) {
        if (!holds[rank][expert] || demand[expert] == 0) {
          continue;
        }
        if (holders[expert] > 1) {
          // Costs no copy: the others that hold the expert take its tokens over. A slow rank is
          // relieved of an expert by a copy elsewhere and then this.
          double gain = normNow - normAfter(NONE, rank, expert);
          found = gain > found.gain() ? new Change(NONE, rank, expert, gain) : found;
        }
        for (int to = 0; to < ranks; to++) {
          if (mayFetch(to, expert) && time(to) < time(rank)) {
            found = better(found, expert, to);
          }
        }
      }
    }
    return found;
  }

  private Change better(Change found, int expert, int to) {
    if (held[to] < limits.placesPerRank()) {
      double gain = normNow - normAfter(expert, to, NONE);
      return gain > found.gain() ? new Change(expert, to, NONE, gain) : found;
    }
    Change bestSoFar = found;
    for (int instead = 0; instead < demand.length; instead++) {
      if (holds[to][instead] && holders[instead] > 1) {
        double gain = normNow - normAfter(expert, to, instead);
        if (gain > bestSoFar.gain()) {
          bestSoFar = new Change(expert, to, instead, gain);
        }
      }
    }
    return bestSoFar;
  }

  private boolean isPossible(Change change) {
    return change.expert() == NONE || mayFetch(change.to(), change.expert());
  }

  private boolean mayFetch(int to, int expert) {
    return !holds[to][expert]
        && (heldBefore[to][expert]
            || (fetched[to] < limits.newPerSet() && fetchedByRank[to] < limits.newPerRank()));
  }

  /**
   * Returns the norm after one change, by what changes at the few ranks that it concerns: adding up
   * all of 72 ranks for each of the changes that are compared took 345 ms a plan for 12 sets of 144
   * experts.
   */
  private double normAfter(int expert, int to, int instead) {
    double sum = powerSum;
    double atReceiver = load[to];
    if (expert != NONE) {
      double share = demand[expert] / (holders[expert] + 1);
      double difference = share - demand[expert] / holders[expert];
      for (int place = 0; place < holders[expert]; place++) {
        int rank = holdersOf[expert][place];
        boolean hasBoth = instead != NONE && holds[rank][instead];
        double other = hasBoth ? takenOver(instead) : 0;
        sum += power(rank, load[rank] + difference + other) - power[rank];
      }
      atReceiver += share;
    }
    if (instead != NONE) {
      double difference = takenOver(instead);
      for (int place = 0; place < holders[instead]; place++) {
        int rank = holdersOf[instead][place];
        boolean isCounted = rank == to || (expert != NONE && holds[rank][expert]);
        sum += isCounted ? 0 : power(rank, load[rank] + difference) - power[rank];
      }
      atReceiver -= demand[instead] / holders[instead];
    }
    return norm(sum + power(to, atReceiver) - power[to]);
  }

  /** What each rank that keeps an expert has more to do when one gives it up. */
  private double takenOver(int expert) {
    return demand[expert] / (holders[expert] - 1) - demand[expert] / holders[expert];
  }

  /** The norm of order 16: close to the maximum, but falls when any heavy rank is relieved. */
  private double norm(double sum) {
    return mean * Math.sqrt(Math.sqrt(Math.sqrt(Math.sqrt(Math.max(0, sum)))));
  }

  private double power(int rank, double loadThere) {
    double relative = loadThere * slowness[rank] / mean;
    double square = relative * relative;
    double fourth = square * square;
    double eighth = fourth * fourth;
    return eighth * eighth;
  }

  private int[] heaviest(int number) {
    return IntStream.range(0, ranks)
        .boxed()
        .sorted((a, b) -> Double.compare(time(b), time(a)))
        .limit(number)
        .mapToInt(Integer::intValue)
        .toArray();
  }

  private double time(int rank) {
    return load[rank] * slowness[rank];
  }

  private double slowest() {
    return IntStream.range(0, ranks).mapToDouble(this::time).max().orElse(0);
  }

  private void computeLoads() {
    Arrays.fill(load, 0);
    for (int expert = 0; expert < demand.length; expert++) {
      for (int place = 0; place < holders[expert]; place++) {
        load[holdersOf[expert][place]] += demand[expert] / holders[expert];
      }
    }
    Arrays.setAll(power, rank -> power(rank, load[rank]));
    powerSum = Arrays.stream(power).sum();
    normNow = norm(powerSum);
  }
}
