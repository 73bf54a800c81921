package dev.ibishub.outbound;

import java.util.Locale;
import java.util.Objects;
import java.util.Set;

/**
 * One VM of the platform's list.
 *
 * @param id the id of the process on the VM, unique in the list
 * @param role {@code entry} or {@code agent}
 * @param zone the failure domain
 * @param host the IP address
 * @param port the port on which the process serves ibishub's own protocol
 * @param leaving whether the platform intends to remove the VM
 */
public record VirtualMachine(
    String id, String role, String zone, String host, int port, boolean leaving) {
  private static final Set<String> ROLES = Set.of("entry", "agent");
  private static final int HIGHEST_PORT = 65_535;

  /** Checks that no text is missing, and that the role and the port exist. */
  public VirtualMachine {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(zone, "zone");
    Objects.requireNonNull(host, "host");
    if (role == null || !ROLES.contains(role.toLowerCase(Locale.ROOT))) {
      throw new IllegalArgumentException("expected entry or agent as role, found " + role);
    }
    if (port < 1 || port > HIGHEST_PORT) {
      throw new IllegalArgumentException("expected a port from 1 to 65535, found " + port);
    }
  }
}
