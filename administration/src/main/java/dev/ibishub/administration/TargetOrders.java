package dev.ibishub.administration;

import java.util.concurrent.CompletableFuture;

/** Gives operators' orders to targets. */
@FunctionalInterface
public interface TargetOrders {
  /**
   * Gives an order.
   *
   * @param target the target's id
   * @param order {@code drain} or {@code undrain}
   * @param operator who orders it
   * @return done when the target's agent has taken it; fails with {@code NOT_FOUND}, {@code
   *     TARGET_UNREACHABLE} or {@code ORDER_UNDECIDED}
   */
  CompletableFuture<Void> give(String target, String order, String operator);
}
