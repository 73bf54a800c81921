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
  private static final Duration SETTLE = Duration.ofSeconds(2);

  private final FakeOrderedEngine engine = new FakeOrderedEngine();
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
            SETTLE,
            () -> now);
    now = now.plus(SETTLE);
  }

  // An agent restarts and remembers nothing; an order that its predecessor had refused as old comes
  // again. The engine ignores numbers, so it would load yesterday's model.
  @Test
  void restartedAgentRefusesAnOrderOlderThanWhatItsPredecessorObeyed() {
    assertThat(codeOf("old", 4)).isEqualTo(ResultCode.STALE_FENCING_TOKEN);
    assertThat(codeOf("new", 5)).isEqualTo(ResultCode.OK);
    assertThat(engine.done).containsExactly("new");
  }

  // The same, but nobody can say what the highest number is. Any order could be the old one.
  @Test
  void orderIsRefusedWhileTheHighestTokenIsNotKnown() {
    highestToken =
        CompletableFuture.failedFuture(new ResultException(ResultCode.LOG_UNAVAILABLE, "outage"));

    assertThat(codeOf("any", 9)).isEqualTo(ResultCode.LOG_UNAVAILABLE);
    assertThat(engine.done).isEmpty();
  }

  // An agent dies just after it gave an order, its successor gives the next one, and the first
  // takes effect last. Waiting until it cannot any longer is all that helps with such an engine.
  @Test
  void orderWaitsUntilThoseOfThePredecessorHaveSettled() {
    now = now.minusMillis(1);
    assertThat(codeOf("next", 6)).isEqualTo(ResultCode.ORDER_UNDECIDED);
    now = now.plusMillis(1);
    assertThat(codeOf("next", 6)).isEqualTo(ResultCode.OK);
  }

  // The engine loads a model and its answer is lost; the operator's tool sends the order again. It
  // must not be given twice, and the operator must hear that it was done.
  @Test
  void lostAnswerIsFoundOutByReadingNotByGivingTheOrderAgain() {
    engine.loseNextAnswer = true;
    assertThat(codeOf("load-1", 6)).isEqualTo(ResultCode.ORDER_UNDECIDED);

    assertThat(codeOf("load-1", 6)).isEqualTo(ResultCode.OK);
    assertThat(codeOf("load-2", 6)).isEqualTo(ResultCode.OK);
    assertThat(engine.done).containsExactly("load-1", "load-2");
  }

  // A hundred agents that load a model at once would hammer the weight store all the night.
  @Test
  void weightStoreIsNotAskedAgainBeforeTheTimeItGave() {
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
