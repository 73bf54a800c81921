package dev.ibishub.core.internal.fairness;

import java.util.Comparator;
import java.util.TreeSet;

/**
 * The work of one workspace in start-time fair queueing: its next work starts at the virtual time
 * {@link #start()}. Not thread-safe; whoever keeps flows in a sorted set takes a flow out before it
 * changes the start.
 *
 * @param <T> type of the items
 */
public final class Flow<T> {
  /** The flow whose next work starts earliest in virtual time. */
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

  /** Creates a flow without work whose next work starts at the given virtual time. */
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

  /** Adds work; the newest weight of the workspace counts. */
  public void add(WaitingWork<T> work) {
    weight = work.work().weight();
    waiting.add(work);
  }

  public void remove(WaitingWork<T> work) {
    waiting.remove(work);
  }

  /** Takes the first work out and charges its estimate. */
  public WaitingWork<T> takeFirst() {
    WaitingWork<T> first = waiting.pollFirst();
    charge(first.work().estimatedTokens());
    return first;
  }

  /** Moves the next start by the given tokens, which may be negative. */
  public void charge(double tokens) {
    start += tokens / weight;
  }

  /** Lets the flow's next work start no earlier than the given virtual time. */
  public void startNoEarlierThan(double virtualTime) {
    start = Math.max(start, virtualTime);
  }
}
