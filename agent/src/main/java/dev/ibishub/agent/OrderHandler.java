package dev.ibishub.agent;

import dev.ibishub.core.ResultCode;
import dev.ibishub.wire.generated.OrderReply;
import dev.ibishub.wire.generated.OrderRequest;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Handles the orders for this target: drains and their revocation in the agent itself, all others
 * through the engine's {@link OrderController}. Thread-safe.
 */
final class OrderHandler {
  private final AttemptRunner runner;
  private final Optional<OrderController> engineOrders;
  private final Consumer<String> beginLeaving;
  private final Runnable endLeaving;

  OrderHandler(
      AttemptRunner runner,
      Optional<OrderController> engineOrders,
      Consumer<String> beginLeaving,
      Runnable endLeaving) {
    this.runner = runner;
    this.engineOrders = engineOrders;
    this.beginLeaving = beginLeaving;
    this.endLeaving = endLeaving;
  }

  /** Handles an order; the future never fails, and the reply's code gives the result. */
  CompletableFuture<OrderReply> handle(OrderRequest order) {
    return switch (order.getKind()) {
      case "drain" -> {
        beginLeaving.accept(order.getOrderedBy());
        yield done(order, ResultCode.OK, "");
      }
      case "undrain" -> {
        endLeaving.run();
        yield done(order, ResultCode.OK, "");
      }
      case "unload" -> unload(order);
      default -> toEngine(order);
    };
  }

  /**
   * Unloads a model. An unload would cut off answers in progress, so new attempts for the model are
   * refused from now on, and the order goes to the engine only when none is queued or running. The
   * model accepts attempts again when an unload has been answered by the engine.
   */
  private CompletableFuture<OrderReply> unload(OrderRequest order) {
    runner.blockModel(order.getModel());
    if (runner.hasUnfinishedAttempt(order.getModel())) {
      return done(order, ResultCode.NOT_READY, "answers with this model are still being written");
    }
    return toEngine(order)
        .thenApply(
            reply -> {
              runner.unblockModel(order.getModel());
              return reply;
            });
  }

  private CompletableFuture<OrderReply> toEngine(OrderRequest order) {
    return engineOrders
        .map(orders -> orders.handle(order))
        .orElseGet(
            () -> done(order, ResultCode.MALFORMED_REQUEST, "unknown kind " + order.getKind()));
  }

  private static CompletableFuture<OrderReply> done(
      OrderRequest order, ResultCode code, String detail) {
    return CompletableFuture.completedFuture(
        OrderReply.newBuilder()
            .setOrderId(order.getOrderId())
            .setResultCode(code.number())
            .setDetail(detail)
            .build());
  }
}
