package dev.ibishub.agent;

import dev.ibishub.core.AnswerEnd;
import dev.ibishub.core.StreamBuffers;
import dev.ibishub.engines.GenerationCall;
import dev.ibishub.engines.GenerationEnd;
import dev.ibishub.engines.ModelEngine;
import dev.ibishub.wire.generated.Dispatch;
import dev.ibishub.wire.generated.ModelCall;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;

/** Runs attempts on the agent's model engine. */
final class ModelBackend implements Backend {
  private static final long ROOM_POLL_NANOS = 2_000_000;

  private final ModelEngine engine;
  private final StreamBuffers buffers;
  private final InstantSource clock;

  ModelBackend(ModelEngine engine, StreamBuffers buffers, InstantSource clock) {
    this.engine = engine;
    this.buffers = buffers;
    this.clock = clock;
  }

  @Override
  public CompletableFuture<AnswerEnd> run(Attempt attempt) {
    return engine
        .generate(
            call(attempt),
            (number, text) -> {
              awaitRoom(attempt);
              attempt.append(number, text);
            })
        .thenApply(ModelBackend::end);
  }

  @Override
  public void cancel(Attempt attempt) {
    engine.cancel(attempt.id());
  }

  /**
   * Blocks while the buffers are full of unread answers, which applies backpressure to the engine.
   */
  private void awaitRoom(Attempt attempt) {
    while (!buffers.hasRoom()
        && !attempt.isCancelled()
        && clock.instant().isBefore(attempt.deadline())) {
      LockSupport.parkNanos(ROOM_POLL_NANOS);
    }
  }

  private static GenerationCall call(Attempt attempt) {
    Dispatch dispatch = attempt.dispatch();
    ModelCall call = dispatch.getModelCall();
    return new GenerationCall(
        attempt.id(),
        call.getModel(),
        call.getAdapter(),
        call.getVersion(),
        call.getChat(),
        call.getBody().toByteArray(),
        call.getMaximumTokens(),
        dispatch.getPriority(),
        attempt.deadline());
  }

  private static AnswerEnd end(GenerationEnd end) {
    return AnswerEnd.success(end.promptTokens() + end.generatedTokens());
  }
}
