package dev.ibishub.core.internal.fairness;

import dev.ibishub.core.QueuedWork;
import java.util.Comparator;

/**
 * Work in a queue with its arrival number, which breaks ties.
 *
 * @param work the queued work
 * @param arrivalNumber number that grows by one with each offer
 * @param <T> type of the item
 */
public record WaitingWork<T>(QueuedWork<T> work, long arrivalNumber) {
  /** Order by priority, highest first, then by arrival. */
  static final Comparator<WaitingWork<?>> BY_PRIORITY =
      Comparator.<WaitingWork<?>>comparingInt(waiting -> -waiting.work().priority())
          .thenComparingLong(WaitingWork::arrivalNumber);

  /** Order by deadline, earliest first, then by arrival. */
  public static final Comparator<WaitingWork<?>> BY_DEADLINE =
      Comparator.<WaitingWork<?>, java.time.Instant>comparing(waiting -> waiting.work().deadline())
          .thenComparingLong(WaitingWork::arrivalNumber);
}
