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
  private final int[] held;
  private final int[] fetched;
  private final double[] load;
  private final double mean;
  private Change best;
  private long bestFor = NONE;

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
    for (int rank = 0; rank < ranks; rank++) {
      for (int expert : experts[rank]) {
        holds[rank][expert] = true;
        holders[expert]++;
        held[rank]++;
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
    // What other sets fetch counts against the same limit of a rank.
    long fetchedInAll = Arrays.stream(fetchedByRank).sum();
    if (bestFor != fetchedInAll) {
      bestFor = fetchedInAll;
      best = find(heavyRanks);
    }
    return best;
  }

  void applyBest() {
    Change change = best;
    if (change.instead() != NONE) {
      holds[change.to()][change.instead()] = false;
      holders[change.instead()]--;
      held[change.to()]--;
    }
    if (change.expert() != NONE) {
      take(change.to(), change.expert());
    }
    bestFor = NONE;
    computeLoads();
  }

  /** Whether a change has to be copied to its rank. */
  boolean needsFetch(Change change) {
    return change.expert() != NONE && !heldBefore[change.to()][change.expert()];
  }

  private void take(int rank, int expert) {
    holds[rank][expert] = true;
    holders[expert]++;
    held[rank]++;
    if (!heldBefore[rank][expert]) {
      fetched[rank]++;
      fetchedByRank[rank]++;
    }
  }

  private Change find(int heavyRanks) {
    Change found = new Change(NONE, NONE, NONE, 0);
    double before = norm(load);
    if (mean <= 0 || slowest() <= limits.goodSkew() * mean) {
      return found;
    }
    int[] heavy = heaviest(heavyRanks);
    double[] after = new double[ranks];
    for (int rank : heavy) {
      for (int expert = 0; expert < demand.length; expert++) {
        if (!holds[rank][expert] || demand[expert] == 0) {
          continue;
        }
        if (holders[expert] > 1) {
          // Costs no copy: the others that hold the expert take its tokens over. A slow rank is
          // relieved of an expert by a copy elsewhere and then this.
          double gain = before - normAfter(NONE, rank, expert, after);
          found = gain > found.gain() ? new Change(NONE, rank, expert, gain) : found;
        }
        for (int to = 0; to < ranks; to++) {
          if (mayFetch(to, expert) && time(to) < time(rank)) {
            found = better(found, expert, to, before, after);
          }
        }
      }
    }
    return found;
  }

  private Change better(Change found, int expert, int to, double before, double[] after) {
    if (held[to] < limits.placesPerRank()) {
      double gain = before - normAfter(expert, to, NONE, after);
      return gain > found.gain() ? new Change(expert, to, NONE, gain) : found;
    }
    Change bestSoFar = found;
    for (int instead = 0; instead < demand.length; instead++) {
      if (holds[to][instead] && holders[instead] > 1) {
        double gain = before - normAfter(expert, to, instead, after);
        if (gain > bestSoFar.gain()) {
          bestSoFar = new Change(expert, to, instead, gain);
        }
      }
    }
    return bestSoFar;
  }

  private boolean mayFetch(int to, int expert) {
    return !holds[to][expert]
        && (heldBefore[to][expert]
            || (fetched[to] < limits.newPerSet() && fetchedByRank[to] < limits.newPerRank()));
  }

  private double normAfter(int expert, int to, int instead, double[] after) {
    System.arraycopy(load, 0, after, 0, ranks);
    if (expert != NONE) {
      double share = demand[expert] / holders[expert];
      double newShare = demand[expert] / (holders[expert] + 1);
      for (int rank = 0; rank < ranks; rank++) {
        if (holds[rank][expert]) {
          after[rank] += newShare - share;
        }
      }
      after[to] += newShare;
    }
    if (instead != NONE) {
      double given = demand[instead] / holders[instead];
      double rest = demand[instead] / (holders[instead] - 1);
      for (int rank = 0; rank < ranks; rank++) {
        if (holds[rank][instead]) {
          after[rank] += rank == to ? -given : rest - given;
        }
      }
    }
    return norm(after);
  }

  /** Close to the maximum, but falls when any heavy rank is relieved: the norm of order 16. */
  private double norm(double[] loads) {
    double sum = 0;
    for (int rank = 0; rank < ranks; rank++) {
      double relative = loads[rank] * slowness[rank] / mean;
      double square = relative * relative;
      double fourth = square * square;
      double eighth = fourth * fourth;
      sum += eighth * eighth;
    }
    return mean * Math.pow(sum, 1.0 / 16);
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
    for (int rank = 0; rank < ranks; rank++) {
      for (int expert = 0; expert < demand.length; expert++) {
        if (holds[rank][expert]) {
          load[rank] += demand[expert] / holders[expert];
        }
      }
    }
  }
}
