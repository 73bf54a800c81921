package dev.ibishub.agent;

import dev.ibishub.core.OrderGate;
import dev.ibishub.core.ResultCode;
import dev.ibishub.engines.EngineOrder;
import dev.ibishub.engines.EngineState;
import dev.ibishub.engines.ModelEngine;
import dev.ibishub.outbound.WeightReservation;
import dev.ibishub.outbound.WeightStore;
import dev.ibishub.wire.generated.OrderReply;
import dev.ibishub.wire.generated.OrderRequest;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Gives orders to this target's engine, one at a time, after {@link OrderGate} has admitted them.
 * The engine's state is read before each order, so an order whose answer was lost is seen. Loads
 * first ask the weight store for leave and come back no sooner than it says. Thread-safe.
 */
public final class OrderController {
  private final ModelEngine engine;
  private final WeightGate weights;
  private final Function<OrderRequest, WeightReservation> weightsOf;
  private final Supplier<CompletableFuture<Long>> highestToken;
  private final InstantSource clock;
  private final OneAtATime calls = new OneAtATime();
  private final OrderGate gate;
  private boolean relearned;

  /**
   * Creates the controller of an agent that has just started.
   *
   * @param engine the target's engine
   * @param weightStore asked for leave before a load
   * @param weightsOf what a load makes the engine fetch
   * @param highestToken reads the highest fencing token given so far, from what outlives the agent;
   *     asked until it answers, and no order is taken before
   * @param settleFor how long after the end of a call to the engine its order may take effect
   * @param clock the time
   */
  public OrderController(
      ModelEngine engine,
      WeightStore weightStore,
      Function<OrderRequest, WeightReservation> weightsOf,
      Supplier<CompletableFuture<Long>> highestToken,
      Duration settleFor,
      InstantSource clock) {
    this.engine = engine;
    this.weights = new WeightGate(weightStore, clock);
    this.weightsOf = weightsOf;
    this.highestToken = highestToken;
    this.clock = clock;
    this.gate = OrderGate.create(clock.instant(), settleFor);
  }

  /**
   * Handles one order: {@code load}, {@code unload} or {@code change_role}.
   *
   * @param request the order
   * @return the reply, {@code OK} when the order has taken effect; never fails
   */
  public CompletableFuture<OrderReply> handle(OrderRequest request) {
    return calls.run(() -> handleNext(request));
  }

  private CompletableFuture<OrderReply> handleNext(OrderRequest request) {
    Optional<EngineOrder.Kind> kind = kindOf(request.getKind());
    if (kind.isEmpty() || request.getOrderId().isEmpty()) {
      return CompletableFuture.completedFuture(
          reply(request, ResultCode.MALFORMED_REQUEST, "unknown kind or no order id"));
    }
    return relearn()
        .thenCompose(unused -> engine.state())
        .thenCompose(state -> decide(request, kind.get(), state))
        .exceptionally(
            failure -> reply(request, Failures.codeOf(failure), Failures.messageOf(failure)));
  }

  private CompletableFuture<Void> relearn() {
    if (relearned) {
      return CompletableFuture.completedFuture(null);
    }
    return highestToken
        .get()
        .thenAccept(
            token -> {
              gate.relearn(token);
              relearned = true;
            });
  }

  private CompletableFuture<OrderReply> decide(
      OrderRequest request, EngineOrder.Kind kind, EngineState state) {
    gate.relearn(state.highestFencingToken());
    ResultCode code =
        gate.admit(
            request.getOrderId(), request.getFencingToken(), state.lastOrderId(), clock.instant());
    if (code == ResultCode.ACCEPTED) {
      return CompletableFuture.completedFuture(reply(request, ResultCode.OK, "done before"));
    }
    if (code != ResultCode.OK) {
      return CompletableFuture.completedFuture(reply(request, code, "refused by the agent"));
    }
    return reserve(request, kind).thenCompose(unused -> give(request, kind));
  }

  private CompletableFuture<OrderReply> give(OrderRequest request, EngineOrder.Kind kind) {
    EngineOrder order =
        new EngineOrder(
            request.getOrderId(),
            kind,
            request.getFencingToken(),
            request.getModel(),
            request.getAdapter(),
            request.getVersion(),
            request.getRole());
    return engine
        .order(order)
        .handle(
            (state, failure) -> {
              if (failure == null) {
                gate.onDone(request.getOrderId());
                return reply(request, ResultCode.OK, "");
              }
              ResultCode code = Failures.codeOf(failure);
              if (code != ResultCode.STALE_FENCING_TOKEN && code != ResultCode.TARGET_UNREACHABLE) {
                gate.onUndecided(request.getOrderId(), clock.instant());
                return reply(request, ResultCode.ORDER_UNDECIDED, Failures.messageOf(failure));
              }
              return reply(request, code, Failures.messageOf(failure));
            });
  }

  private CompletableFuture<Void> reserve(OrderRequest request, EngineOrder.Kind kind) {
    if (kind != EngineOrder.Kind.LOAD) {
      return CompletableFuture.completedFuture(null);
    }
    return weights.reserve(weightsOf.apply(request));
  }

  private OrderReply reply(OrderRequest request, ResultCode code, String detail) {
    return OrderReply.newBuilder()
        .setOrderId(request.getOrderId())
        .setResultCode(code.number())
        .setDetail(detail)
        .setHighestFencingToken(gate.highestToken())
        .build();
  }

  private static Optional<EngineOrder.Kind> kindOf(String name) {
    try {
      return Optional.of(EngineOrder.Kind.valueOf(name.toUpperCase(Locale.ROOT)));
    } catch (IllegalArgumentException expected) {
      return Optional.empty();
    }
  }
}
