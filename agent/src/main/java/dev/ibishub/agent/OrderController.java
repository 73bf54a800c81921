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
 * Sends orders to the target's engine, one at a time, after {@link OrderGate} has admitted them.
 * The engine's state is read before each order, which shows whether an order whose answer was lost
 * has taken effect. A load first reserves its weights at the weight store and respects the store's
 * retry time. Thread-safe.
 */
public final class OrderController {
  private final ModelEngine engine;
  private final WeightReserver weights;
  private final Function<OrderRequest, WeightReservation> weightsOf;
  private final Supplier<CompletableFuture<Long>> highestToken;
  private final InstantSource clock;
  private final SequentialCalls calls = new SequentialCalls();
  private final OrderGate gate;
  private boolean highestTokenRestored;

  /**
   * Creates the controller of an agent that has just started.
   *
   * @param engine the target's engine
   * @param weightStore where the weights are reserved before a load
   * @param weightsOf returns the weights that the engine will fetch for a load
   * @param highestToken reads the highest fencing token used so far from storage that outlives the
   *     agent; called again for each order until it succeeds, and orders are refused before that
   * @param settlingTime how long after the end of a call to the engine its order may still take
   *     effect
   * @param clock the source of the current time
   */
  public OrderController(
      ModelEngine engine,
      WeightStore weightStore,
      Function<OrderRequest, WeightReservation> weightsOf,
      Supplier<CompletableFuture<Long>> highestToken,
      Duration settlingTime,
      InstantSource clock) {
    this.engine = engine;
    this.weights = new WeightReserver(weightStore, clock);
    this.weightsOf = weightsOf;
    this.highestToken = highestToken;
    this.clock = clock;
    this.gate = OrderGate.create(clock.instant(), settlingTime);
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
    return restoreHighestToken()
        .thenCompose(unused -> engine.state())
        .thenCompose(state -> decide(request, kind.get(), state))
        .exceptionally(
            failure ->
                reply(request, FutureFailures.codeOf(failure), FutureFailures.messageOf(failure)));
  }

  private CompletableFuture<Void> restoreHighestToken() {
    if (highestTokenRestored) {
      return CompletableFuture.completedFuture(null);
    }
    return highestToken
        .get()
        .thenAccept(
            token -> {
              gate.restoreHighestToken(token);
              highestTokenRestored = true;
            });
  }

  private CompletableFuture<OrderReply> decide(
      OrderRequest request, EngineOrder.Kind kind, EngineState state) {
    gate.restoreHighestToken(state.highestFencingToken());
    ResultCode code =
        gate.admit(
            request.getOrderId(), request.getFencingToken(), state.lastOrderId(), clock.instant());
    if (code == ResultCode.ACCEPTED) {
      return CompletableFuture.completedFuture(reply(request, ResultCode.OK, "done before"));
    }
    if (code != ResultCode.OK) {
      return CompletableFuture.completedFuture(reply(request, code, "refused by the agent"));
    }
    return reserve(request, kind).thenCompose(unused -> send(request, kind));
  }

  private CompletableFuture<OrderReply> send(OrderRequest request, EngineOrder.Kind kind) {
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
              ResultCode code = FutureFailures.codeOf(failure);
              if (code != ResultCode.STALE_FENCING_TOKEN && code != ResultCode.TARGET_UNREACHABLE) {
                gate.onUndecided(request.getOrderId(), clock.instant());
                return reply(
                    request, ResultCode.ORDER_UNDECIDED, FutureFailures.messageOf(failure));
              }
              return reply(request, code, FutureFailures.messageOf(failure));
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
