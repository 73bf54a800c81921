package dev.ibishub.gateway.records;

import dev.ibishub.core.entries.LogPosition;
import dev.ibishub.runtime.MonotonicClock;
import java.util.Objects;
import java.util.Optional;

/**
 * A record of a keyed log.
 *
 * @param position its position in the log
 * @param key identifier of the item that it describes
 * @param value state of the item; empty for a tombstone, which deletes the key
 * @param deleted the highest revision of the key that a tombstone is known to delete; empty for
 *     other records, and for keys whose records state no revision
 * @param readAt when an entry read it from the store, on this process's monotonic clock,
 *     milliseconds. The entry may be another one, so this may precede the start of this process.
 */
public record KeyedRecord(
    LogPosition position,
    String key,
    Optional<byte[]> value,
    Optional<Revision> deleted,
    long readAt) {
  /** Checks that no component is null. */
  public KeyedRecord {
    Objects.requireNonNull(position);
    Objects.requireNonNull(key);
    Objects.requireNonNull(value);
    Objects.requireNonNull(deleted);
  }

  /** Creates a record that has just been read. */
  public KeyedRecord(LogPosition position, String key, Optional<byte[]> value) {
    this(position, key, value, Optional.empty(), MonotonicClock.millis());
  }

  /** Whether it deletes its key. */
  public boolean isTombstone() {
    return value.isEmpty();
  }

  /** Returns how long ago it was read, milliseconds, 0 or more. */
  public long ageMillis(long now) {
    return Math.max(0, now - readAt);
  }

  /** Returns this record at another position. */
  KeyedRecord at(LogPosition other) {
    return new KeyedRecord(other, key, value, deleted, readAt);
  }

  /** Returns this tombstone with the revision that it deletes; unchanged if it knows a higher. */
  KeyedRecord deleting(Optional<Revision> revision) {
    boolean isHigher =
        revision.isPresent() && (deleted.isEmpty() || revision.get().compareTo(deleted.get()) > 0);
    return isHigher ? new KeyedRecord(position, key, value, revision, readAt) : this;
  }
}
