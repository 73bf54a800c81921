package dev.ibishub.core.ranks;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Number of tokens routed to each expert in a recent time window, over all ranks, computed from
 * cumulative counters. Not thread-safe.
 *
 * <p>The window is short because demand shifts quickly and a map made for old demand is as bad as
 * none, yet long enough for the tokens of some tens of requests.
 */
public final class ExpertDemand {
  private final int sets;
  private final int experts;
  private final long windowMillis;
  private final Map<Integer, Deque<Sample>> samplesByRank = new HashMap<>();
  private long epoch;

  /** Counters of one rank at one time. */
  @SuppressWarnings("ArrayRecordComponent") // Never compared or hashed.
  private record Sample(long atMillis, long[] counts) {}

  /**
   * Creates a demand without any samples.
   *
   * @param sets number of layer sets
   * @param experts number of experts in each layer set
   * @param windowMillis length of the window, milliseconds
   */
  public ExpertDemand(int sets, int experts, long windowMillis) {
    this.sets = sets;
    this.experts = experts;
    this.windowMillis = windowMillis;
  }

  /**
   * Records the counters of one rank. Counters of an unexpected length are ignored.
   *
   * @param rank the rank
   * @param newEpoch the group's epoch; counters of different epochs are not compared
   * @param counts cumulative token counters, ordered by layer set and expert
   * @param now when the counters were read, milliseconds
   */
  public void onCounts(int rank, long newEpoch, long[] counts, long now) {
    if (newEpoch != epoch) {
      epoch = newEpoch;
      samplesByRank.clear();
    }
    if (counts.length != sets * experts) {
      return;
    }
    Deque<Sample> samples = samplesByRank.computeIfAbsent(rank, unused -> new ArrayDeque<>());
    if (!samples.isEmpty() && hasRestarted(samples.peekLast().counts(), counts)) {
      samples.clear();
    }
    samples.addLast(new Sample(now, counts.clone()));
    // Keeps one sample from before the window as the baseline for the counts in the window.
    while (samples.size() > 2 && secondSample(samples).atMillis() <= now - windowMillis) {
      samples.removeFirst();
    }
  }

  /** Discards the samples of all ranks but these. */
  public void retainRanks(Collection<Integer> ranks) {
    samplesByRank.keySet().retainAll(ranks);
  }

  /** Returns the number of ranks whose samples span at least half of the window. */
  public int ranksKnown() {
    return (int)
        samplesByRank.values().stream()
            .filter(
                samples ->
                    samples.peekLast().atMillis() - samples.peekFirst().atMillis()
                        >= windowMillis / 2)
            .count();
  }

  /** Returns the tokens in the window, by layer set and expert. */
  public double[][] tokens() {
    double[][] tokens = new double[sets][experts];
    samplesByRank.values().forEach(samples -> add(samples, tokens));
    return tokens;
  }

  /** Returns the tokens in the window over all experts. */
  public double total() {
    return Arrays.stream(tokens()).flatMapToDouble(Arrays::stream).sum();
  }

  /** Discards the tokens counted so far, so that the window covers only what follows. */
  public void restart() {
    samplesByRank
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

  private static boolean hasRestarted(long[] earlierCounts, long[] laterCounts) {
    for (int i = 0; i < earlierCounts.length; i++) {
      if (laterCounts[i] < earlierCounts[i]) {
        return true;
      }
    }
    return false;
  }

  private static Sample secondSample(Deque<Sample> samples) {
    var iterator = samples.iterator();
    iterator.next();
    return iterator.next();
  }
}
