package dev.ibishub.gateway.experts;

import dev.ibishub.gateway.model.Target;
import java.util.concurrent.CompletableFuture;

/** Sends an order to the engine of a target by whatever route is available. */
@FunctionalInterface
public interface RankOrderSender {
  /**
   * Sends an order.
   *
   * @return the outcome, which completes on the thread that calls this; never completes
   *     exceptionally
   */
  CompletableFuture<RankOrder.Result> send(Target target, RankOrder order);
}
