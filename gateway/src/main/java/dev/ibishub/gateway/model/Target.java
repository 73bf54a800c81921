package dev.ibishub.gateway.model;

import dev.ibishub.wire.NumericAddresses;
import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.util.Objects;

/**
 * A target as announced by its record in the platform's store.
 *
 * @param id unique id; reused only by the same target after a restart
 * @param service name of the service that it belongs to
 * @param address its address for requests, resolved
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
    InetSocketAddress address,
    String zone,
    int slots,
    boolean leaving,
    long startedAtMillis,
    long coldRemainingMillis) {
  /** Checks that the id, service and address are present and the address is usable. */
  public Target {
    Objects.requireNonNull(id);
    Objects.requireNonNull(service);
    if (address.isUnresolved() || address.getPort() < 1) {
      throw new IllegalArgumentException("target " + id + " has address " + address);
    }
  }

  /**
   * Creates a target that is not cold.
   *
   * @throws IllegalArgumentException if the host is no IP number or the port is invalid
   */
  public Target(
      String id,
      String service,
      String host,
      int port,
      String zone,
      int slots,
      boolean leaving,
      long startedAtMillis) {
    this(id, service, NumericAddresses.of(host, port), zone, slots, leaving, startedAtMillis, 0);
  }

  /** Returns the target's IP number. */
  public String host() {
    return NetUtil.toAddressString(address.getAddress());
  }

  /** Returns the port for requests. */
  public int port() {
    return address.getPort();
  }

  /** Returns this target with another remaining time of its cold period, milliseconds. */
  public Target withColdRemainingMillis(long remainingMillis) {
    return new Target(id, service, address, zone, slots, leaving, startedAtMillis, remainingMillis);
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
        && address.equals(target.address)
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
