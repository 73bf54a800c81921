package dev.ibishub.gateway.records;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * The last few records of each key that were replaced by later ones. A log that comes back from an
 * older copy holds some of them again, at the same offsets. Not thread-safe.
 */
final class ReplacedRecords {
  /** Records that are remembered of each key. */
  private static final int REMEMBERED = 8;

  private final Map<String, Deque<Digest>> byKey = new HashMap<>();

  private record Digest(long offset, boolean isTombstone, int valueHash) {
    static Digest of(KeyedRecord record) {
      return new Digest(
          record.position().offset(),
          record.isTombstone(),
          record.value().map(Arrays::hashCode).orElse(0));
    }
  }

  /** Remembers a record that has been replaced. */
  void add(KeyedRecord record) {
    Deque<Digest> digests = byKey.computeIfAbsent(record.key(), key -> new ArrayDeque<>());
    digests.addLast(Digest.of(record));
    if (digests.size() > REMEMBERED) {
      digests.removeFirst();
    }
  }

  /** Whether a record, in any epoch of the log, is one that has been replaced. */
  boolean contains(KeyedRecord record) {
    Deque<Digest> digests = byKey.get(record.key());
    return digests != null && digests.contains(Digest.of(record));
  }

  /** Whether two records, perhaps of different epochs, are one and the same record of a copy. */
  static boolean areSame(KeyedRecord one, KeyedRecord two) {
    return Digest.of(one).equals(Digest.of(two));
  }

  /** Whether two records have equal values, or are both tombstones. */
  static boolean haveSameValue(KeyedRecord one, KeyedRecord two) {
    return one.isTombstone() == two.isTombstone()
        && Arrays.equals(one.value().orElse(null), two.value().orElse(null));
  }
}
