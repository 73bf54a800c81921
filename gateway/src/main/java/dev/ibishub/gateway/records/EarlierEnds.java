package dev.ibishub.gateway.records;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Where a log ended at earlier times, to tell which of its records any copy holds that it may come
 * back from. Times are milliseconds of one monotonic clock. Not thread-safe.
 */
final class EarlierEnds {
  /** Age that no copy exceeds when the log goes away, milliseconds; copies are seconds old. */
  private static final long MOST_COPY_AGE_MILLIS = 30_000;

  /** Time between two ends that are remembered, milliseconds. */
  private static final long STEP_MILLIS = 5_000;

  private final Deque<End> ends = new ArrayDeque<>();
  private long lastAddedAt;

  private record End(long offset, long knownAt) {}

  /** Adds the present end of the log. */
  void add(long offset, long now) {
    lastAddedAt = now;
    if (ends.isEmpty() || now - ends.getLast().knownAt() >= STEP_MILLIS) {
      ends.addLast(new End(offset, now));
    }
    long oldEnough = now - MOST_COPY_AGE_MILLIS;
    while (ends.stream()
        .skip(1)
        .findFirst()
        .filter(next -> next.knownAt() <= oldEnough)
        .isPresent()) {
      ends.removeFirst();
    }
  }

  /** Returns the offset before which each copy has all records; 0 if that is not known of any. */
  long inEachCopy() {
    boolean isKnown =
        !ends.isEmpty() && ends.getFirst().knownAt() <= lastAddedAt - MOST_COPY_AGE_MILLIS;
    return isKnown ? ends.getFirst().offset() : 0;
  }

  /** Forgets what the log may have lost, as it has come back from a copy. */
  void onReturn() {
    long kept = inEachCopy();
    ends.removeIf(end -> end.offset() > kept);
  }
}
