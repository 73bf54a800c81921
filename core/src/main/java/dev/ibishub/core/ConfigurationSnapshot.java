package dev.ibishub.core;

import java.util.List;

/**
 * The state after all records before an offset. On the log it keeps the state from being lost with
 * the records that made it; between processes it brings those up to date that are behind.
 *
 * @param recordId unique name
 * @param nextOffset offset of the first record that the state does not know
 * @param state the accepted state
 * @param recentEvents what became of the last records, oldest first
 */
public record ConfigurationSnapshot(
    String recordId,
    long nextOffset,
    ConfigurationState state,
    List<ConfigurationEvent> recentEvents)
    implements ConfigurationRecord {
  public ConfigurationSnapshot {
    recentEvents = List.copyOf(recentEvents);
  }
}
