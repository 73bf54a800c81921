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
  private final PlacementLimits limits;
  private final int[] fetchedByRank;
  private final boolean[][] holds;
  private final boolean[][] heldBefore;
  private final int[] holders;
  private final int[] held;
  private final int[] fetched;
  private final double[] load;
  private final double mean;
  private Copy best;
  private long bestFor = NONE;

  /**
   * A copy of one expert to one rank.
   *
   * @param expert the expert
   * @param to the rank that gets it
   * @param instead the expert that this rank gives up for it, or {@link #NONE}
   * @param gain how many tokens less the heavy ranks have
   */
  record Copy(int expert, int to, int instead, double gain) {}

  SetPlan(int[][] experts, double[] demand, PlacementLimits limits, int[] fetchedByRank) {
    this.ranks = experts.length;
    this.demand = demand;
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
    this.mean = Arrays.stream(demand).sum() / ranks;
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

  /** Finds the copy that helps most; its gain is 0 when none does. */
  Copy best(int heavyRanks) {
    long fetchedInAll = Arrays.stream(fetchedByRank).sum();
    if (bestFor != fetchedInAll) {
      bestFor = fetchedInAll;
      best = find(heavyRanks);
    }
    return best;
  }

  void applyBest() {
    Copy copy = best;
    if (copy.instead() != NONE) {
      holds[copy.to()][copy.instead()] = false;
      holders[copy.instead()]--;
      held[copy.to()]--;
    }
    holds[copy.to()][copy.expert()] = true;
    holders[copy.expert()]++;
    held[copy.to()]++;
    if (!heldBefore[copy.to()][copy.expert()]) {
      fetched[copy.to()]++;
      fetchedByRank[copy.to()]++;
    }
    bestFor = NONE;
    computeLoads();
  }

  private Copy find(int heavyRanks) {
    Copy found = new Copy(NONE, NONE, NONE, 0);
    double before = norm(load);
    if (mean <= 0 || Arrays.stream(load).max().orElse(0) <= limits.goodSkew() * mean) {
      return found;
    }
    int[] heavy = heaviest(heavyRanks);
    double[] after = new double[ranks];
    for (int rank : heavy) {
      for (int expert = 0; expert < demand.length; expert++) {
        if (!holds[rank][expert] || demand[expert] == 0) {
          continue;
        }
        for (int to = 0; to < ranks; to++) {
          if (mayFetch(to, expert) && load[to] < load[rank]) {
            found = better(found, expert, to, before, after);
          }
        }
      }
    }
    return found;
  }

  private Copy better(Copy found, int expert, int to, double before, double[] after) {
    if (held[to] < limits.placesPerRank()) {
      double gain = before - normAfter(expert, to, NONE, after);
      return gain > found.gain() ? new Copy(expert, to, NONE, gain) : found;
    }
    Copy bestSoFar = found;
    for (int instead = 0; instead < demand.length; instead++) {
      if (holds[to][instead] && holders[instead] > 1) {
        double gain = before - normAfter(expert, to, instead, after);
        if (gain > bestSoFar.gain()) {
          bestSoFar = new Copy(expert, to, instead, gain);
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
    double share = demand[expert] / holders[expert];
    double newShare = demand[expert] / (holders[expert] + 1);
    for (int rank = 0; rank < ranks; rank++) {
      if (holds[rank][expert]) {
        after[rank] += newShare - share;
      }
    }
    after[to] += newShare;
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
    for (double each : loads) {
      double relative = each / mean;
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
        .sorted((a, b) -> Double.compare(load[b], load[a]))
        .limit(number)
        .mapToInt(Integer::intValue)
        .toArray();
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
