package dev.ibishub.agent;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.outbound.WeightReservation;
import dev.ibishub.wire.generated.GroupCommand;
import dev.ibishub.wire.generated.GroupCommandKind;
import dev.ibishub.wire.generated.GroupReply;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RankControllerTest {
  private static final Duration SETTLE = Duration.ofSeconds(2);

  private final FakeOrderedEngine engine = new FakeOrderedEngine();
  private Instant now = Instant.EPOCH;
  private CompletableFuture<Void> store = CompletableFuture.completedFuture(null);
  private int storeAsked;
  private long sequence;
  private RankController controller;

  @BeforeEach
  void startAgent() {
    controller =
        new RankController(
            engine,
            (weights, bytes) -> {
              storeAsked++;
              return store;
            },
            command -> new WeightReservation("experts", command.getMap().size()),
            "dictionary",
            0,
            SETTLE,
            () -> now);
    now = now.plus(SETTLE);
  }

  @Test
  void memberObeysItsLeaderAndTellsTheStateOfItsEngine() {
    join();
    GroupReply reply = send(GroupCommandKind.GROUP_COMMAND_KIND_HOLD, 9);

    assertThat(reply.getResultCode()).isEqualTo(ResultCode.OK.number());
    assertThat(reply.getHoldStep()).isEqualTo(9);
    assertThat(reply.getCurrentStep()).isEqualTo(3);
  }

  // An agent dies with an order on its way to the engine. Its successor reads the engine too early,
  // reports that nothing is committed, and the order takes effect after that.
  @Test
  void nothingIsReportedBeforeAnOrderOfThePredecessorHasSettled() {
    now = now.minusMillis(1);
    assertThat(send(GroupCommandKind.GROUP_COMMAND_KIND_PREPARE, 0).getResultCode())
        .isEqualTo(ResultCode.NOT_READY.number());
  }

  // The answer to a hold is lost. Reported as refused, the leader would think the rank runs on, and
  // as done, that it holds; either may be wrong until the order has settled.
  @Test
  void lostAnswerIsLeftOpenUntilItHasSettled() {
    join();
    engine.loseNextAnswer = true;

    assertThat(send(GroupCommandKind.GROUP_COMMAND_KIND_HOLD, 9).getResultCode())
        .isEqualTo(ResultCode.ORDER_UNDECIDED.number());
    assertThat(send(GroupCommandKind.GROUP_COMMAND_KIND_HOLD, 9).getResultCode())
        .isEqualTo(ResultCode.NOT_READY.number());
    now = now.plus(SETTLE);
    assertThat(send(GroupCommandKind.GROUP_COMMAND_KIND_HOLD, 9).getResultCode())
        .isEqualTo(ResultCode.OK.number());
    assertThat(engine.done).containsExactly("HOLD");
  }

  // A leader repeats its command to stage a map while the weight store is over its limit.
  @Test
  void stagingAsksTheWeightStoreOnceAndNotBeforeTheTimeItGave() {
    join();
    store =
        CompletableFuture.failedFuture(
            new ResultException(ResultCode.WEIGHT_STORE_BUSY, "limit", now.plusSeconds(3)));
    send(GroupCommandKind.GROUP_COMMAND_KIND_STAGE, 0);
    assertThat(send(GroupCommandKind.GROUP_COMMAND_KIND_STAGE, 0).getResultCode())
        .isEqualTo(ResultCode.WEIGHT_STORE_BUSY.number());
    assertThat(storeAsked).isEqualTo(1);

    now = now.plusSeconds(3);
    store = CompletableFuture.completedFuture(null);
    send(GroupCommandKind.GROUP_COMMAND_KIND_STAGE, 0);
    assertThat(engine.done).containsExactly("STAGE");
  }

  private void join() {
    send(GroupCommandKind.GROUP_COMMAND_KIND_PREPARE, 0);
    send(GroupCommandKind.GROUP_COMMAND_KIND_JOIN, 0);
  }

  private GroupReply send(GroupCommandKind kind, long step) {
    sequence++;
    return controller
        .handle(
            GroupCommand.newBuilder()
                .setGroup("dictionary")
                .setGroupIncarnation(1)
                .setEpoch(1)
                .setSequence(sequence)
                .setKind(kind)
                .setMapVersion(77)
                .setStep(step)
                .build())
        .join();
  }
}
