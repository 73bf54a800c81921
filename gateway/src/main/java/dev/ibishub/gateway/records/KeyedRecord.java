package dev.ibishub.gateway.records;

import dev.ibishub.runtime.MonotonicClock;
import java.util.Objects;
import java.util.Optional;

/**
 * A record of a keyed log.
 *
 * @param offset its position in the log
 * @param key identifier of the item that it describes
 * @param value state of the item; empty for a tombstone, which deletes the key
 * @param readAt when an entry read it from the store, on this process's monotonic clock,
 *     milliseconds. The entry may be another one, so this may precede the start of this process.
 */
public record KeyedRecord(long offset, String key, Optional<byte[]> value, long readAt) {
  /** Checks that the key and value aren't null. */
  public KeyedRecord {
    Objects.requireNonNull(key);
    Objects.requireNonNull(value);
  }

  /** Creates a record that has just been read. */
  public KeyedRecord(long offset, String key, Optional<byte[]> value) {
    this(offset, key, value, MonotonicClock.millis());
  }

  /** Returns how long ago it was read, milliseconds, 0 or more. */
  public long ageMillis(long now) {
    return Math.max(0, now - readAt);
  }
}
