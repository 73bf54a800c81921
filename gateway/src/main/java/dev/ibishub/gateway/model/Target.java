package dev.ibishub.gateway.model;

import java.util.Objects;

/**
 * A target as announced by its record in the platform's store.
 *
 * @param id unique id; reused only by the same target after a restart
 * @param service name of the service that it belongs to
 * @param host its IP address
 * @param port the port for requests
 * @param zone its failure domain
 * @param slots number of requests that it runs concurrently; 0 if not announced
 * @param leaving whether it is draining and takes no new requests
 * @param startedAtMillis start time, milliseconds since the epoch; 0 if not announced. A restart
 *     under the same id loses all state of the earlier process
 * @param coldRemainingMillis how much longer it is cold, that is, takes few requests, milliseconds
 *     from when it wrote the record; 0 if it is not cold
 */
public record Target(
    String id,
    String service,
    String host,
    int port,
    String zone,
    int slots,
    boolean leaving,
    long startedAtMillis,
    long coldRemainingMillis) {
  /** Checks that the id, service and address are present and the port is valid. */
  public Target {
    Objects.requireNonNull(id);
    Objects.requireNonNull(service);
    Objects.requireNonNull(host);
    if (port < 1) {
      throw new IllegalArgumentException("target " + id + " has port " + port);
    }
  }

  /** Creates a target that is not cold. */
  public Target(
      String id,
      String service,
      String host,
      int port,
      String zone,
      int slots,
      boolean leaving,
      long startedAtMillis) {
    this(id, service, host, port, zone, slots, leaving, startedAtMillis, 0);
  }

  /** Returns this target with another remaining time of its cold period, milliseconds. */
  public Target withColdRemainingMillis(long remainingMillis) {
    return new Target(
        id, service, host, port, zone, slots, leaving, startedAtMillis, remainingMillis);
  }

  /** Returns an identifier of this incarnation: it changes when the target restarts. */
  public String incarnation() {
    return id + "@" + startedAtMillis;
  }

  // equals and hashCode are written out because a record's generated methods are linked at their
  // first call, which is slow in a process that has just started.

  @Override
  public boolean equals(Object other) {
    return other instanceof Target target
        && id.equals(target.id)
        && service.equals(target.service)
        && host.equals(target.host)
        && port == target.port
        && Objects.equals(zone, target.zone)
        && slots == target.slots
        && leaving == target.leaving
        && startedAtMillis == target.startedAtMillis
        && coldRemainingMillis == target.coldRemainingMillis;
  }

  @Override
  public int hashCode() {
    return id.hashCode();
  }
}
