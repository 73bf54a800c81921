package dev.ibishub.outbound;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** The platform's list of live and leaving VMs. It lags, so it is only ever a hint. */
public interface VirtualMachineList {
  /**
   * Reads the list as the platform knows it now.
   *
   * @return the VMs; fails with {@code TARGET_UNREACHABLE} when the list cannot be had
   */
  CompletableFuture<List<VirtualMachine>> read();
}
