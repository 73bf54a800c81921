package dev.ibishub.core.serving;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The failure domains that the operator has taken out of service. Targets there get no new
 * requests; what runs there goes on, and ranks there keep stepping with their group. Immutable.
 *
 * @param offsetByZone the position of the record that evacuated each zone among all records
 */
public record EvacuatedZones(Map<String, Long> offsetByZone) {
  /** No zone is evacuated. */
  public static final EvacuatedZones NONE = new EvacuatedZones(Map.of());

  /** Copies the map. */
  public EvacuatedZones {
    offsetByZone = Map.copyOf(offsetByZone);
  }

  /** Returns the evacuated zones, which may include some that have no targets. */
  public Set<String> zones() {
    return offsetByZone.keySet();
  }

  /** Whether a zone is evacuated. */
  public boolean contains(String zone) {
    return zone != null && offsetByZone.containsKey(zone);
  }

  /**
   * Returns these zones and one more.
   *
   * @param offset the position of the record that evacuates the zone
   */
  public EvacuatedZones withEvacuated(String zone, long offset) {
    Map<String, Long> next = new HashMap<>(offsetByZone);
    next.merge(zone, offset, Math::max);
    return new EvacuatedZones(next);
  }

  /**
   * Returns these zones without one, unless it was evacuated by a later record.
   *
   * @param offset the position of the record that lifts the evacuation
   */
  public EvacuatedZones withRestored(String zone, long offset) {
    if (!contains(zone) || offsetByZone.get(zone) > offset) {
      return this;
    }
    Map<String, Long> next = new HashMap<>(offsetByZone);
    next.remove(zone);
    return new EvacuatedZones(next);
  }
}
