package dev.ibishub.agent;

import dev.ibishub.core.ResultCode;
import dev.ibishub.wire.generated.OrderReply;
import dev.ibishub.wire.generated.OrderRequest;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Takes the orders for this target: drains here, all else through the engine's {@link
 * OrderController}. Thread-safe.
 */
final class OrderDesk {
  private final AttemptRunner runner;
  private final Optional<OrderController> engineOrders;
  private final Consumer<String> beginLeaving;
  private final Runnable endLeaving;

  OrderDesk(
      AttemptRunner runner,
      Optional<OrderController> engineOrders,
      Consumer<String> beginLeaving,
      Runnable endLeaving) {
    this.runner = runner;
    this.engineOrders = engineOrders;
    this.beginLeaving = beginLeaving;
    this.endLeaving = endLeaving;
  }

  /** Handles an order; the reply's code says what became of it, the future never fails. */
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
   * Unloads a model. An answer that the engine is writing with it would be cut off, so the model
   * takes no new attempts from here on and the order goes to the engine only when none runs.
   */
  private CompletableFuture<OrderReply> unload(OrderRequest order) {
    runner.closeModel(order.getModel());
    if (runner.runsModel(order.getModel())) {
      return done(order, ResultCode.NOT_READY, "answers with this model are still being written");
    }
    return toEngine(order)
        .thenApply(
            reply -> {
              runner.openModel(order.getModel());
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
