package dev.ibishub.core.ranks;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * How many tokens chose each expert lately, over all ranks, from counts that only grow. Not
 * thread-safe.
 *
 * <p>The window is short, since demand shifts within a moment and a map made for the old demand is
 * as bad as none; it is still long enough for the tokens of some tens of requests.
 */
public final class ExpertDemand {
  private final int sets;
  private final int experts;
  private final long windowMillis;
  private final Map<Integer, Deque<Sample>> byRank = new HashMap<>();
  private long epoch;

  /** Counts of one rank at one moment. */
  @SuppressWarnings("ArrayRecordComponent") // Never compared or hashed.
  private record Sample(long at, long[] counts) {}

  /**
   * Creates a demand of which nothing is known.
   *
   * @param sets sets of layers
   * @param experts experts in each set
   * @param windowMillis how far back counts matter, milliseconds
   */
  public ExpertDemand(int sets, int experts, long windowMillis) {
    this.sets = sets;
    this.experts = experts;
    this.windowMillis = windowMillis;
  }

  /**
   * Takes the counts of one rank in.
   *
   * @param rank the rank
   * @param newEpoch the group's epoch; counts of different epochs are not compared
   * @param counts by set and expert in one row
   * @param now when they were read
   */
  public void onCounts(int rank, long newEpoch, long[] counts, long now) {
    if (newEpoch != epoch) {
      epoch = newEpoch;
      byRank.clear();
    }
    if (counts.length != sets * experts) {
      return;
    }
    Deque<Sample> samples = byRank.computeIfAbsent(rank, any -> new ArrayDeque<>());
    if (!samples.isEmpty() && hasRestarted(samples.peekLast().counts(), counts)) {
      samples.clear();
    }
    samples.addLast(new Sample(now, counts.clone()));
    // One sample from before the window stays: it is what the window's counts are measured against.
    while (samples.size() > 2 && secondOf(samples).at() <= now - windowMillis) {
      samples.removeFirst();
    }
  }

  /** Returns how many ranks have told counts that span at least half of the window. */
  public int ranksKnown() {
    return (int)
        byRank.values().stream()
            .filter(
                samples -> samples.peekLast().at() - samples.peekFirst().at() >= windowMillis / 2)
            .count();
  }

  /** Returns the tokens of the window by set and expert. */
  public double[][] tokens() {
    double[][] tokens = new double[sets][experts];
    byRank.values().forEach(samples -> add(samples, tokens));
    return tokens;
  }

  /** Returns the tokens of the window over all experts. */
  public double total() {
    return Arrays.stream(tokens()).flatMapToDouble(Arrays::stream).sum();
  }

  /** Forgets the window, so that the next one holds only what comes from now on. */
  public void restart() {
    byRank
        .values()
        .forEach(
            samples -> {
              while (samples.size() > 1) {
                samples.removeFirst();
              }
            });
  }

  private void add(Deque<Sample> samples, double[][] tokens) {
    long[] first = samples.peekFirst().counts();
    long[] last = samples.peekLast().counts();
    for (int i = 0; i < last.length; i++) {
      tokens[i / experts][i % experts] += last[i] - first[i];
    }
  }

  private static boolean hasRestarted(long[] before, long[] after) {
    for (int i = 0; i < before.length; i++) {
      if (after[i] < before[i]) {
        return true;
      }
    }
    return false;
  }

  private static Sample secondOf(Deque<Sample> samples) {
    var each = samples.iterator();
    each.next();
    return each.next();
  }
}
