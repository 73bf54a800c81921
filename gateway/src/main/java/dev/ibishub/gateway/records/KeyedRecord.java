package dev.ibishub.gateway.records;

import java.util.Objects;
import java.util.Optional;

/**
 * A record of a keyed log.
 *
 * @param offset its position in the log
 * @param key identifier of the item that it describes
 * @param value state of the item; empty for a tombstone, which deletes the key
 */
public record KeyedRecord(long offset, String key, Optional<byte[]> value) {
  /** Checks that the key and value aren't null. */
  public KeyedRecord {
    Objects.requireNonNull(key);
    Objects.requireNonNull(value);
  }
}
