package dev.ibishub.node;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.core.serving.EvacuatedZones;
import dev.ibishub.gateway.front.TargetDirectory;
import dev.ibishub.gateway.records.KeyedRecord;
import dev.ibishub.runtime.LogEvent;

/**
 * The zones that the operator has taken out of service, by the newest record of each. Thread-safe
 * by one lock. Used on the users' platform; behind ibishub's own interface they are a part of the
 * published configuration, which {@code dev.ibishub.administration.ConfigurationFollower} follows.
 */
final class CurrentEvacuations {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final TargetDirectory targets;
  private EvacuatedZones zones = EvacuatedZones.NONE;

  /**
   * Starts with no zone evacuated.
   *
   * @param targets told of each change before the method that made it returns
   */
  CurrentEvacuations(TargetDirectory targets) {
    this.targets = targets;
  }

  /** Returns how many zones are evacuated, including those without known targets. */
  synchronized int count() {
    return zones.zones().size();
  }

  /**
   * Applies the newest record of a zone: with any value it evacuates the zone, without one it
   * restores it.
   */
  synchronized void onRecord(String zone, KeyedRecord record) {
    EvacuatedZones before = zones;
    zones =
        record.value().isPresent()
            ? before.withEvacuated(zone, record.position())
            : before.withRestored(zone, record.position());
    if (before.contains(zone) == zones.contains(zone)) {
      return;
    }
    targets.onEvacuated(zones);
    logger.atInfo().log(
        "%s",
        LogEvent.of(zones.contains(zone) ? "zone.evacuated" : "zone.restored")
            .with("zone", zone)
            .with("epoch", record.position().epoch())
            .with("offset", record.position().offset())
            .with("targets", targets.countIn(zone)));
  }
}
