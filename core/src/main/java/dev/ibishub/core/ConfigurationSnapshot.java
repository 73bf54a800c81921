package dev.ibishub.core;

import java.util.List;

/**
 * The accepted state up to an offset of the log. Appended to the log, a snapshot preserves the
 * state when retention deletes the records that led to it; sent to a peer that is behind, it brings
 * that peer up to date.
 *
 * @param recordId unique id of the record
 * @param nextOffset offset of the first record that the state does not include
 * @param state the accepted state
 * @param recentEvents the verdicts on the latest changes, oldest first
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
