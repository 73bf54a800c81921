package dev.ibishub.core.internal.fairness;

import java.util.Comparator;
import java.util.TreeSet;

/**
 * The queue of one workspace in start-time fair queueing. {@link #start()} is the virtual time at
 * which its next work starts. Not thread-safe. A flow in a sorted set must be taken out before its
 * start changes.
 *
 * @param <T> type of the items
 */
public final class Flow<T> {
  /** Order by the virtual start time of the next work, earliest first. */
  public static final Comparator<Flow<?>> BY_START =
      Comparator.<Flow<?>>comparingDouble(Flow::start).thenComparing(Flow::workspace);

  private final String workspace;
  private final TreeSet<WaitingWork<T>> waiting = new TreeSet<>(WaitingWork.BY_PRIORITY);
  private double start;
  private double weight;

  private Flow(String workspace, double start, double weight) {
    this.workspace = workspace;
    this.start = start;
    this.weight = weight;
  }

  /** Creates an empty flow whose next work starts at the given virtual time. */
  public static <T> Flow<T> startingAt(double start, String workspace, double weight) {
    return new Flow<>(workspace, start, weight);
  }

  public String workspace() {
    return workspace;
  }

  public double start() {
    return start;
  }

  public boolean isEmpty() {
    return waiting.isEmpty();
  }

  /** Adds work and takes over its weight as that of the workspace. */
  public void add(WaitingWork<T> work) {
    weight = work.work().weight();
    waiting.add(work);
  }

  public void remove(WaitingWork<T> work) {
    waiting.remove(work);
  }

  /** Removes the first work and charges its estimated tokens. */
  public WaitingWork<T> takeFirst() {
    WaitingWork<T> first = waiting.pollFirst();
    charge(first.work().estimatedTokens());
    return first;
  }

  /**
   * Moves the next start by the given tokens divided by the weight; negative tokens move it back.
   */
  public void charge(double tokens) {
    start += tokens / weight;
  }

  /** Moves the next start to the given virtual time if it is earlier. */
  public void startNoEarlierThan(double virtualTime) {
    start = Math.max(start, virtualTime);
  }
}
