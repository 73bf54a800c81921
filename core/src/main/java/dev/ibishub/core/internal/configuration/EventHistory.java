package dev.ibishub.core.internal.configuration;

import dev.ibishub.core.ConfigurationEvent;
import dev.ibishub.core.ConfigurationEvent.Result;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The last events, by record and in offset order. Not thread-safe. */
public final class EventHistory {
  private final int maximumEvents;
  private final Map<String, ConfigurationEvent> byRecord = new LinkedHashMap<>();

  public EventHistory(int maximumEvents) {
    this.maximumEvents = maximumEvents;
  }

  /**
   * Adds an event. Of a record that is on the log twice the first verdict stays: the second copy is
   * void because the first one moved the revision on, and must not hide that it was accepted.
   */
  public void add(ConfigurationEvent event) {
    byRecord.putIfAbsent(event.recordId(), event);
    if (byRecord.size() > maximumEvents) {
      byRecord.remove(byRecord.keySet().iterator().next());
    }
  }

  public Optional<ConfigurationEvent> of(String recordId) {
    return Optional.ofNullable(byRecord.get(recordId));
  }

  /** Finds the change that made a revision. */
  public Optional<ConfigurationEvent> accepted(long revision) {
    return byRecord.values().stream()
        .filter(event -> event.result() == Result.ACCEPTED && event.revision() == revision)
        .findFirst();
  }

  /** Returns the events, oldest first. */
  public List<ConfigurationEvent> all() {
    return List.copyOf(byRecord.values());
  }

  /** Returns the last events, oldest first. */
  public List<ConfigurationEvent> last(int count) {
    List<ConfigurationEvent> all = all();
    return all.subList(Math.max(0, all.size() - count), all.size());
  }
}
