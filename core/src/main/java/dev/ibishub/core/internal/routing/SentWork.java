package dev.ibishub.core.internal.routing;

import java.time.Instant;
import java.util.ArrayDeque;

/** When this entry sent work to a target that its last report does not show. Not thread-safe. */
final class SentWork {
  private final ArrayDeque<Instant> sentAt = new ArrayDeque<>();

  void add(Instant at) {
    sentAt.addLast(at);
  }

  /** Forgets what a report that was measured at the given time has counted. */
  void forgetUntil(Instant measuredAt) {
    while (!sentAt.isEmpty() && !sentAt.peekFirst().isAfter(measuredAt)) {
      sentAt.pollFirst();
    }
  }

  int count() {
    return sentAt.size();
  }
}
