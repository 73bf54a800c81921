package dev.ibishub.gateway.model;

import java.util.Objects;

/**
 * One target as it announces itself.
 *
 * @param id its id; not used again, but by the same target after a restart
 * @param service the service that it belongs to
 * @param host its IP number
 * @param port the port for requests
 * @param zone its failure domain
 * @param slots requests that it runs at once, 0 where it doesn't say
 * @param leaving whether it takes no new requests
 * @param startedAtMillis when it started, milliseconds since the epoch; 0 where it doesn't say. A
 *     later start under the same id has lost all that the earlier one knew
 */
public record Target(
    String id,
    String service,
    String host,
    int port,
    String zone,
    int slots,
    boolean leaving,
    long startedAtMillis) {
  /** Checks that the target can be reached by what it says. */
  public Target {
    Objects.requireNonNull(id);
    Objects.requireNonNull(service);
    Objects.requireNonNull(host);
    if (port < 1) {
      throw new IllegalArgumentException("target " + id + " has port " + port);
    }
  }

  /** Returns a name of this life of the target, which none of its other lives has. */
  public String life() {
    return id + "@" + startedAtMillis;
  }

  // Written out, as a record's own methods are linked at their first call, which is slow in a
  // process that starts.

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
        && startedAtMillis == target.startedAtMillis;
  }

  @Override
  public int hashCode() {
    return id.hashCode();
  }
}
