package dev.ibishub.outbound;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Client of the platform's list of live and leaving VMs. The list is stale, so only a hint. */
public interface VirtualMachineList {
  /**
   * Reads the current list.
   *
   * @return the VMs; fails with {@code TARGET_UNREACHABLE} if the list cannot be read
   */
  CompletableFuture<List<VirtualMachine>> read();
}
