package dev.ibishub.gateway.records;

import java.util.Objects;
import java.util.Optional;

/**
 * A record of a keyed log.
 *
 * @param offset its place in the log
 * @param key what it says something about
 * @param value what it says; empty when the key was dropped
 */
public record KeyedRecord(long offset, String key, Optional<byte[]> value) {
  /** Checks that the parts are there. */
  public KeyedRecord {
    Objects.requireNonNull(key);
    Objects.requireNonNull(value);
  }
}
