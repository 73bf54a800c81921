package dev.ibishub.agent;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.outbound.WeightReservation;
import dev.ibishub.wire.generated.OrderRequest;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class OrderControllerTest {
  private static final Duration SETTLING_TIME = Duration.ofSeconds(2);

  private final FakeUnfencedEngine engine = new FakeUnfencedEngine();
  private Instant now = Instant.EPOCH;
  private CompletableFuture<Long> highestToken = CompletableFuture.completedFuture(5L);
  private CompletableFuture<Void> store = CompletableFuture.completedFuture(null);
  private int storeAsked;
  private OrderController controller;

  @BeforeEach
  void startAgent() {
    controller =
        new OrderController(
            engine,
            (weights, bytes) -> {
              storeAsked++;
              return store;
            },
            request -> new WeightReservation(request.getModel(), 1),
            () -> highestToken,
            SETTLING_TIME,
            () -> now);
    now = now.plus(SETTLING_TIME);
  }

  // Guards against loading an outdated model. An agent without memory restarts, and an order that
  // its earlier run refused as stale is sent again. The engine ignores fencing tokens.
  @Test
  void refusesOrderOlderThanHighestTokenAfterRestart() {
    assertThat(codeOf("old", 4)).isEqualTo(ResultCode.STALE_FENCING_TOKEN);
    assertThat(codeOf("new", 5)).isEqualTo(ResultCode.OK);
    assertThat(engine.done).containsExactly("new");
  }

  // As above, but the highest token cannot be read, so any order could be stale.
  @Test
  void refusesOrdersWhileHighestTokenIsUnknown() {
    highestToken =
        CompletableFuture.failedFuture(new ResultException(ResultCode.LOG_UNAVAILABLE, "outage"));

    assertThat(codeOf("any", 9)).isEqualTo(ResultCode.LOG_UNAVAILABLE);
    assertThat(engine.done).isEmpty();
  }

  // An agent crashes just after sending an order, its successor sends the next one, and the first
  // order takes effect last. With an engine that ignores fencing tokens the only protection is to
  // wait until the first order can no longer take effect.
  @Test
  void refusesOrdersUntilSettlingTimeAfterStartIsOver() {
    now = now.minusMillis(1);
    assertThat(codeOf("next", 6)).isEqualTo(ResultCode.ORDER_UNDECIDED);
    now = now.plusMillis(1);
    assertThat(codeOf("next", 6)).isEqualTo(ResultCode.OK);
  }

  // The engine loads a model, its answer is lost, and the operator's tool repeats the order. The
  // engine must get the order only once, and the operator must be told that it was done.
  @Test
  void readsEngineStateInsteadOfRepeatingOrderWhenAnswerIsLost() {
    engine.loseNextAnswer = true;
    assertThat(codeOf("load-1", 6)).isEqualTo(ResultCode.ORDER_UNDECIDED);

    assertThat(codeOf("load-1", 6)).isEqualTo(ResultCode.OK);
    assertThat(codeOf("load-2", 6)).isEqualTo(ResultCode.OK);
    assertThat(engine.done).containsExactly("load-1", "load-2");
  }

  // Guards against a hundred agents overloading the weight store when they load a model at once.
  @Test
  void doesNotAskWeightStoreAgainBeforeItsRetryTime() {
    store =
        CompletableFuture.failedFuture(
            new ResultException(ResultCode.WEIGHT_STORE_BUSY, "limit", now.plusSeconds(3)));
    assertThat(codeOf("load", 6)).isEqualTo(ResultCode.WEIGHT_STORE_BUSY);
    assertThat(codeOf("load", 6)).isEqualTo(ResultCode.WEIGHT_STORE_BUSY);
    assertThat(storeAsked).isEqualTo(1);

    now = now.plusSeconds(3);
    store = CompletableFuture.completedFuture(null);
    assertThat(codeOf("load", 6)).isEqualTo(ResultCode.OK);
    assertThat(engine.done).containsExactly("load");
  }

  private ResultCode codeOf(String orderId, long token) {
    OrderRequest request =
        OrderRequest.newBuilder()
            .setOrderId(orderId)
            .setKind("load")
            .setModel("dictionary")
            .setFencingToken(token)
            .build();
    return ResultCode.ofNumber(controller.handle(request).join().getResultCode()).orElseThrow();
  }
}
