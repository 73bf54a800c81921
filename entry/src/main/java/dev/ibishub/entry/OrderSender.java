package dev.ibishub.entry;

import dev.ibishub.administration.TargetOrders;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.runtime.Timeouts;
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
import java.util.function.Function;

/** Sends orders to agents and matches replies to them. Thread-safe. */
final class OrderSender implements TargetOrders {
  private static final long REPLY_TIMEOUT_MILLIS = 5_000;

  private final Function<String, Optional<Link>> links;
  private final InstantSource clock;
  private final Timeouts timeouts;
  private final Map<String, CompletableFuture<OrderReply>> pendingReplies =
      new ConcurrentHashMap<>();

  OrderSender(Function<String, Optional<Link>> links, InstantSource clock, Timeouts timeouts) {
    this.links = links;
    this.clock = clock;
    this.timeouts = timeouts;
  }

  @Override
  public CompletableFuture<Void> send(String target, String order, String operator) {
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
   * @return the agent's reply; fails with {@code TARGET_UNREACHABLE} if the order was certainly not
   *     sent, with {@code ORDER_UNDECIDED} if no reply came in time, or with the code of the
   *     agent's refusal
   */
  CompletableFuture<OrderReply> send(String target, OrderRequest order) {
    CompletableFuture<OrderReply> reply = new CompletableFuture<>();
    pendingReplies.put(order.getOrderId(), reply);
    boolean sent =
        links
            .apply(target)
            .map(link -> link.offer(Frame.newBuilder().setOrderRequest(order).build()))
            .orElse(false);
    if (!sent) {
      reply.completeExceptionally(
          new ResultException(ResultCode.TARGET_UNREACHABLE, "no link to " + target));
    }
    return timeouts
        .complete(reply, undecidedReply(order), REPLY_TIMEOUT_MILLIS)
        .whenComplete((done, failure) -> pendingReplies.remove(order.getOrderId()))
        .thenApply(this::requireAccepted);
  }

  /** Completes the order that a reply belongs to; drops a reply that came too late. */
  void onReply(OrderReply reply) {
    Optional.ofNullable(pendingReplies.get(reply.getOrderId()))
        .ifPresent(pending -> pending.complete(reply));
  }

  private OrderReply requireAccepted(OrderReply reply) {
    ResultCode code = ResultCode.ofNumber(reply.getResultCode()).orElse(ResultCode.ORDER_UNDECIDED);
    if (code != ResultCode.OK) {
      Instant retryAt = clock.instant().plusSeconds(1);
      throw new ResultException(code, reply.getDetail(), retryAt);
    }
    return reply;
  }

  /**
   * Returns the reply assumed after the timeout: an order that was sent may have taken effect even
   * if its reply is lost.
   */
  private static OrderReply undecidedReply(OrderRequest order) {
    return OrderReply.newBuilder()
        .setOrderId(order.getOrderId())
        .setResultCode(ResultCode.ORDER_UNDECIDED.number())
        .setDetail("the agent has not replied")
        .build();
  }
}
