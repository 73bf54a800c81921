package dev.ibishub.core.internal.fairness;

import dev.ibishub.core.QueuedWork;
import java.util.Comparator;

/**
 * Work in a queue with the number of its arrival, which breaks all ties.
 *
 * @param work what waits
 * @param arrival grows by one with each offer
 * @param <T> type of the item
 */
public record WaitingWork<T>(QueuedWork<T> work, long arrival) {
  /** Higher priority first, then earlier arrival. */
  static final Comparator<WaitingWork<?>> BY_PRIORITY =
      Comparator.<WaitingWork<?>>comparingInt(waiting -> -waiting.work().priority())
          .thenComparingLong(WaitingWork::arrival);

  /** Earlier deadline first. */
  public static final Comparator<WaitingWork<?>> BY_DEADLINE =
      Comparator.<WaitingWork<?>, java.time.Instant>comparing(waiting -> waiting.work().deadline())
          .thenComparingLong(WaitingWork::arrival);
}
