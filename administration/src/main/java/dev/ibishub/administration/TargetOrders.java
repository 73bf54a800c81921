package dev.ibishub.administration;

import java.util.concurrent.CompletableFuture;

/** Sender of operators' drain and undrain orders to targets. */
@FunctionalInterface
public interface TargetOrders {
  /**
   * Sends an order to a target's agent.
   *
   * @param target the target's id
   * @param order {@code drain} or {@code undrain}
   * @param operator the name of the operator who gives the order
   * @return completes once the target's agent has accepted the order; fails with {@code NOT_FOUND},
   *     {@code TARGET_UNREACHABLE} or {@code ORDER_UNDECIDED}
   */
  CompletableFuture<Void> send(String target, String order, String operator);
}
