package dev.ibishub.core.entries;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The maximum of the numbers seen within a sliding window of time. Thread-safe by one lock.
 *
 * <pre>{@code
 * SlidingMaximum entries = new SlidingMaximum(100_000);
 * entries.onSeen(7, 0);
 * entries.onSeen(4, 1_000);
 * entries.largest(); // 7
 * }</pre>
 */
public final class SlidingMaximum {
  private final long windowMillis;

  /** The numbers that may still become the maximum: older ones first, each larger than the next. */
  private final Deque<Seen> descending = new ArrayDeque<>();

  private record Seen(int number, long at) {}

  /**
   * Creates an instance that has seen no number.
   *
   * @param windowMillis length of the window, milliseconds
   */
  public SlidingMaximum(long windowMillis) {
    this.windowMillis = windowMillis;
  }

  /** Adds a number, and evicts those that have left the window. */
  public synchronized void onSeen(int number, long now) {
    while (!descending.isEmpty() && descending.peekLast().number() <= number) {
      descending.removeLast();
    }
    descending.addLast(new Seen(number, now));
    while (descending.peekFirst().at() <= now - windowMillis) {
      descending.removeFirst();
    }
  }

  /** Returns the maximum as of the last {@link #onSeen}; 0 if no number was seen. */
  public synchronized int largest() {
    return descending.isEmpty() ? 0 : descending.peekFirst().number();
  }
}
