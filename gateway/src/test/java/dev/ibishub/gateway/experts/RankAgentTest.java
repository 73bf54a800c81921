package dev.ibishub.gateway.experts;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.wire.Link;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class RankAgentTest {
  private static final long VERSION = 5;
  private static final long STEP = 40;

  private final FakeEngine engine = new FakeEngine();
  private final RankAgent agent = new RankAgent(engine, () -> {});
  private final Link leader =
      Link.over(new EmbeddedChannel(), new Link.Peer("entry-1", "entry", "z", 1));

  /** An engine whose state and results the test sets. */
  private static final class FakeEngine implements RankEngine {
    private RankOrder.Result result = RankOrder.Result.DONE;
    private RankState state = state(0, 0);

    static RankState state(long mapVersion, long preparedVersion) {
      return new RankState(
          0,
          0,
          1,
          Optional.of(
              new RankState.Membership(
                  "g",
                  1,
                  0,
                  2,
                  true,
                  STEP,
                  mapVersion,
                  preparedVersion,
                  0,
                  0,
                  OptionalLong.empty())));
    }

    @Override
    public CompletableFuture<RankState> state() {
      return CompletableFuture.completedFuture(state);
    }

    @Override
    public CompletableFuture<Picks> picks() {
      return CompletableFuture.completedFuture(new Picks(1, new long[0]));
    }

    @Override
    public CompletableFuture<HeldMap> map() {
      return CompletableFuture.completedFuture(new HeldMap(1, 0, new int[0][]));
    }

    @Override
    public CompletableFuture<RankOrder.Result> order(RankOrder order) {
      return CompletableFuture.completedFuture(result);
    }
  }

  @BeforeEach
  void link() {
    agent.onOpen(leader);
  }

  private void sendOrder(RankOrder.Kind kind) {
    RankOrder order = new RankOrder("i-1", kind, VERSION, STEP, 1, 1, Optional.empty());
    agent.onFrame(leader, RankMessages.order(1, order));
    agent.poll();
  }

  @Test
  void looksOftenUntilExpertsAreCopied() {
    long usual = agent.untilNextPollMillis();
    sendOrder(RankOrder.Kind.PREPARE);
    assertThat(agent.untilNextPollMillis()).isLessThan(usual);

    engine.state = FakeEngine.state(0, VERSION);
    agent.poll();
    assertThat(agent.untilNextPollMillis()).isEqualTo(usual);
  }

  @Test
  void looksOftenUntilArmedMapIsInUse() {
    long usual = agent.untilNextPollMillis();
    engine.state = FakeEngine.state(0, VERSION);
    sendOrder(RankOrder.Kind.ARM);
    assertThat(agent.untilNextPollMillis()).isLessThan(usual);

    engine.state = FakeEngine.state(VERSION, 0);
    agent.poll();
    assertThat(agent.untilNextPollMillis()).isEqualTo(usual);
  }

  @Test
  void keepsUsualIntervalAfterRefusedOrder() {
    long usual = agent.untilNextPollMillis();
    engine.result = RankOrder.Result.CONFLICT;
    sendOrder(RankOrder.Kind.ARM);

    assertThat(agent.untilNextPollMillis()).isEqualTo(usual);
  }
}
