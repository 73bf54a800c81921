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
  private static final Duration SETTLING_TIME = Duration.ofSeconds(2);

  private final FakeUnfencedEngine engine = new FakeUnfencedEngine();
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
            SETTLING_TIME,
            () -> now);
    now = now.plus(SETTLING_TIME);
  }

  @Test
  void obeysLeaderAndReportsEngineStateAfterJoin() {
    join();
    GroupReply reply = send(GroupCommandKind.GROUP_COMMAND_KIND_HOLD, 9);

    assertThat(reply.getResultCode()).isEqualTo(ResultCode.OK.number());
    assertThat(reply.getHoldStep()).isEqualTo(9);
    assertThat(reply.getCurrentStep()).isEqualTo(3);
  }

  // An agent crashes with an order in flight to the engine. Its successor must not report that
  // nothing is committed while that order can still take effect.
  @Test
  void refusesCommandsUntilSettlingTimeAfterStartIsOver() {
    now = now.minusMillis(1);
    assertThat(send(GroupCommandKind.GROUP_COMMAND_KIND_PREPARE, 0).getResultCode())
        .isEqualTo(ResultCode.NOT_READY.number());
  }

  // The answer to a hold is lost. Reporting it as refused would tell the leader that the rank runs
  // on, and as done that it holds; either may be wrong until the settling time is over.
  @Test
  void reportsUndecidedUntilSettlingTimeWhenAnswerIsLost() {
    join();
    engine.loseNextAnswer = true;

    assertThat(send(GroupCommandKind.GROUP_COMMAND_KIND_HOLD, 9).getResultCode())
        .isEqualTo(ResultCode.ORDER_UNDECIDED.number());
    assertThat(send(GroupCommandKind.GROUP_COMMAND_KIND_HOLD, 9).getResultCode())
        .isEqualTo(ResultCode.NOT_READY.number());
    now = now.plus(SETTLING_TIME);
    assertThat(send(GroupCommandKind.GROUP_COMMAND_KIND_HOLD, 9).getResultCode())
        .isEqualTo(ResultCode.OK.number());
    assertThat(engine.done).containsExactly("HOLD");
  }

  // A leader repeats its stage command while the weight store is over its rate limit.
  @Test
  void doesNotAskWeightStoreAgainBeforeItsRetryTimeWhenStaging() {
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
