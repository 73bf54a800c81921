package dev.ibishub.outbound;

/**
 * One VM of the platform's list.
 *
 * @param id the name of the process that the VM is for, unique in the list
 * @param role {@code entry} or {@code agent}
 * @param zone the failure domain
 * @param host an IP number
 * @param port the port on which the VM's process speaks the project's own protocol
 * @param leaving whether the platform means to take the VM away
 */
public record VirtualMachine(
    String id, String role, String zone, String host, int port, boolean leaving) {}
