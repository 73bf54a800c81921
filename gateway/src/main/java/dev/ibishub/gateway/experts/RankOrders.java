package dev.ibishub.gateway.experts;

import dev.ibishub.gateway.model.Target;
import java.util.concurrent.CompletableFuture;

/** Gives an order to the engine of a target, by whichever way there is. */
@FunctionalInterface
public interface RankOrders {
  /**
   * Gives an order.
   *
   * @return what came of it; never fails
   */
  CompletableFuture<RankOrder.Result> give(Target target, RankOrder order);
}
