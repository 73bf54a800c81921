package dev.ibishub.agent;

import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.engines.CacheEvents;
import dev.ibishub.engines.EngineLoad;
import dev.ibishub.engines.EngineOrder;
import dev.ibishub.engines.EngineState;
import dev.ibishub.engines.GenerationCall;
import dev.ibishub.engines.GenerationEnd;
import dev.ibishub.engines.GenerationListener;
import dev.ibishub.engines.ModelEngine;
import dev.ibishub.engines.RankOrder;
import dev.ibishub.engines.RankState;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Engine that ignores fencing tokens and can lose the answer of an order that it carried out. */
final class FakeUnfencedEngine implements ModelEngine {
  final List<String> done = new ArrayList<>();
  boolean loseNextAnswer;
  private String lastOrderId = "";
  private long hold;
  private long staged;

  @Override
  public CompletableFuture<EngineState> state() {
    return CompletableFuture.completedFuture(
        new EngineState(1, List.of(), "both", false, 0, lastOrderId));
  }

  @Override
  public CompletableFuture<EngineState> order(EngineOrder order) {
    done.add(order.orderId());
    lastOrderId = order.orderId();
    return answer(state());
  }

  @Override
  public CompletableFuture<RankState> rank() {
    return CompletableFuture.completedFuture(
        new RankState(1, "dictionary", 0, 3, 1, staged, hold, 0, 0, new byte[] {1}, List.of(), 5));
  }

  @Override
  public CompletableFuture<RankState> orderRank(RankOrder order) {
    done.add(order.kind().name());
    switch (order.kind()) {
      case STAGE -> staged = order.mapVersion();
      case HOLD -> hold = order.step();
      case RELEASE -> hold = 0;
      default -> throw new IllegalStateException(order.kind().name());
    }
    return answer(rank());
  }

  private <T> CompletableFuture<T> answer(CompletableFuture<T> answer) {
    boolean lost = loseNextAnswer;
    loseNextAnswer = false;
    return lost
        ? CompletableFuture.failedFuture(
            new ResultException(ResultCode.ORDER_UNDECIDED, "answer lost"))
        : answer;
  }

  @Override
  public CompletableFuture<GenerationEnd> generate(
      GenerationCall call, GenerationListener listener) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<GenerationEnd> resume(
      String streamId, long fromPiece, GenerationListener listener) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<Void> cancel(String streamId) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<EngineLoad> load() {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletableFuture<CacheEvents> cacheEvents(long fromSequence) {
    throw new UnsupportedOperationException();
  }
}
