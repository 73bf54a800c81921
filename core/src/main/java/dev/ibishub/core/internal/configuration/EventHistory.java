package dev.ibishub.core.internal.configuration;

import dev.ibishub.core.ConfigurationEvent;
import dev.ibishub.core.ConfigurationEvent.Result;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A bounded history of configuration events, in offset order. Not thread-safe. */
public final class EventHistory {
  private final int maximumEvents;
  private final Map<String, ConfigurationEvent> byRecordId = new LinkedHashMap<>();

  public EventHistory(int maximumEvents) {
    this.maximumEvents = maximumEvents;
  }

  /**
   * Adds an event and drops the oldest one when the history is full. Where a record is on the log
   * twice, the first event stays: the second copy is a conflict only because the first one made a
   * new revision, and its event must not hide that the change was accepted.
   */
  public void add(ConfigurationEvent event) {
    byRecordId.putIfAbsent(event.recordId(), event);
    if (byRecordId.size() > maximumEvents) {
      byRecordId.remove(byRecordId.keySet().iterator().next());
    }
  }

  /** Finds the event of a record. */
  public Optional<ConfigurationEvent> find(String recordId) {
    return Optional.ofNullable(byRecordId.get(recordId));
  }

  /** Finds the event of the change that made a revision. */
  public Optional<ConfigurationEvent> findAccepted(long revision) {
    return byRecordId.values().stream()
        .filter(event -> event.result() == Result.ACCEPTED && event.revision() == revision)
        .findFirst();
  }

  /** Returns all events, oldest first. */
  public List<ConfigurationEvent> all() {
    return List.copyOf(byRecordId.values());
  }

  /** Returns at most {@code count} of the newest events, oldest first. */
  public List<ConfigurationEvent> latest(int count) {
    List<ConfigurationEvent> all = all();
    return all.subList(Math.max(0, all.size() - count), all.size());
  }
}
