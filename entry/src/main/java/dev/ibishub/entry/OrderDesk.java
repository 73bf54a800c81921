package dev.ibishub.entry;

import dev.ibishub.administration.TargetOrders;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.wire.Link;
import dev.ibishub.wire.generated.Frame;
import dev.ibishub.wire.generated.OrderReply;
import dev.ibishub.wire.generated.OrderRequest;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** Sends orders to agents and matches their replies. Thread-safe. */
final class OrderDesk implements TargetOrders {
  private static final long PATIENCE_SECONDS = 5;

  private final Function<String, Optional<Link>> links;
  private final InstantSource clock;
  private final Map<String, CompletableFuture<OrderReply>> open = new ConcurrentHashMap<>();

  OrderDesk(Function<String, Optional<Link>> links, InstantSource clock) {
    this.links = links;
    this.clock = clock;
  }

  @Override
  public CompletableFuture<Void> give(String target, String order, String operator) {
    OrderRequest request =
        OrderRequest.newBuilder()
            .setOrderId(UUID.randomUUID().toString())
            .setKind(order)
            .setOrderedBy(operator)
            .build();
    return send(target, request).thenApply(reply -> null);
  }

  /**
   * Sends one order.
   *
   * @return the agent's reply; fails with {@code TARGET_UNREACHABLE} when the order was surely not
   *     sent, {@code ORDER_UNDECIDED} when no reply came, or with the code of the agent's refusal
   */
  CompletableFuture<OrderReply> send(String target, OrderRequest order) {
    CompletableFuture<OrderReply> reply = new CompletableFuture<>();
    open.put(order.getOrderId(), reply);
    boolean sent =
        links
            .apply(target)
            .map(link -> link.offer(Frame.newBuilder().setOrderRequest(order).build()))
            .orElse(false);
    if (!sent) {
      reply.completeExceptionally(
          new ResultException(ResultCode.TARGET_UNREACHABLE, "no link to " + target));
    }
    return reply
        .completeOnTimeout(undecided(order), PATIENCE_SECONDS, TimeUnit.SECONDS)
        .whenComplete((done, failure) -> open.remove(order.getOrderId()))
        .thenApply(this::requireTaken);
  }

  /** Takes a reply; one that nobody waits for any more is dropped. */
  void onReply(OrderReply reply) {
    Optional.ofNullable(open.get(reply.getOrderId())).ifPresent(waiting -> waiting.complete(reply));
  }

  private OrderReply requireTaken(OrderReply reply) {
    ResultCode code = ResultCode.ofNumber(reply.getResultCode()).orElse(ResultCode.ORDER_UNDECIDED);
    if (code != ResultCode.OK) {
      Instant retryAt = clock.instant().plusSeconds(1);
      throw new ResultException(code, reply.getDetail(), retryAt);
    }
    return reply;
  }

  /** An order that was sent may have taken effect whatever became of its reply. */
  private static OrderReply undecided(OrderRequest order) {
    return OrderReply.newBuilder()
        .setOrderId(order.getOrderId())
        .setResultCode(ResultCode.ORDER_UNDECIDED.number())
        .setDetail("the agent has not replied")
        .build();
  }
}
