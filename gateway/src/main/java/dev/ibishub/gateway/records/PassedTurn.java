package dev.ibishub.gateway.records;

import java.util.Set;

/**
 * A turn to read a topic that an entry rejected by the store passes to the next one.
 *
 * @param waitMillis time that the store may hold the read open, milliseconds
 * @param tried hosts of the entries that have passed this turn on
 */
public record PassedTurn(long waitMillis, Set<String> tried) {
  /** Makes a defensive copy. */
  public PassedTurn {
    tried = Set.copyOf(tried);
  }
}
