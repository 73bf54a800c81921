package dev.ibishub.core.internal.routing;

import java.time.Instant;
import java.util.ArrayDeque;

/**
 * The times of dispatches from this entry to one target that the target's last report does not
 * include. Not thread-safe.
 */
final class UnreportedDispatches {
  private final ArrayDeque<Instant> sentAt = new ArrayDeque<>();

  void add(Instant at) {
    sentAt.addLast(at);
  }

  /** Removes the dispatches that a report measured at the given time includes. */
  void removeUntil(Instant measuredAt) {
    while (!sentAt.isEmpty() && !sentAt.peekFirst().isAfter(measuredAt)) {
      sentAt.pollFirst();
    }
  }

  int count() {
    return sentAt.size();
  }
}
