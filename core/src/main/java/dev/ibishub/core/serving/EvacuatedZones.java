package dev.ibishub.core.serving;

import dev.ibishub.core.entries.LogPosition;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The failure domains that the operator has taken out of service. Targets there get no new
 * requests; what runs there goes on, and ranks there keep stepping with their group. Immutable.
 *
 * @param positionByZone the position of the record that evacuated each zone among all records
 */
public record EvacuatedZones(Map<String, LogPosition> positionByZone) {
  /** No zone is evacuated. */
  public static final EvacuatedZones NONE = new EvacuatedZones(Map.of());

  /** Copies the map. */
  public EvacuatedZones {
    positionByZone = Map.copyOf(positionByZone);
  }

  /** Returns the evacuated zones, which may include some that have no targets. */
  public Set<String> zones() {
    return positionByZone.keySet();
  }

  /** Whether a zone is evacuated. */
  public boolean contains(String zone) {
    return zone != null && positionByZone.containsKey(zone);
  }

  /**
   * Returns these zones and one more.
   *
   * @param position the position of the record that evacuates the zone
   */
  public EvacuatedZones withEvacuated(String zone, LogPosition position) {
    Map<String, LogPosition> next = new HashMap<>(positionByZone);
    next.merge(zone, position, (one, two) -> two.isBefore(one) ? one : two);
    return new EvacuatedZones(next);
  }

  /**
   * Returns these zones without one, unless it was evacuated by a later record.
   *
   * @param position the position of the record that lifts the evacuation
   */
  public EvacuatedZones withRestored(String zone, LogPosition position) {
    if (!contains(zone) || positionByZone.get(zone).isAfter(position)) {
      return this;
    }
    Map<String, LogPosition> next = new HashMap<>(positionByZone);
    next.remove(zone);
    return new EvacuatedZones(next);
  }
}
