package dev.ibishub.outbound;

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
    String id, String role, String zone, String host, int port, boolean leaving) {}
