package dev.ibishub.standins;

import dev.ibishub.core.Outcome;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.engines.GenerationCall;
import dev.ibishub.engines.ModelEngine;
import dev.ibishub.outbound.OutboundJson;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;

/**
 * Sends one model call directly to an engine, without entry and agent, as the baseline for the
 * latency that those add. Doesn't retry. Used by one thread.
 */
final class DirectSession {
  private final PlannedRequest request;
  private final ModelEngine engine;
  private final LoadOptions options;
  private final List<Long> chunkNanos = new ArrayList<>();
  private final StringBuilder text = new StringBuilder();

  DirectSession(PlannedRequest request, ModelEngine engine, LoadOptions options) {
    this.request = request;
    this.engine = engine;
    this.options = options;
  }

  CallerSession.Ending run() {
    try {
      engine.generate(call(), this::addPiece).join();
      boolean matches = text.toString().equals(request.expectedText());
      return matches
          ? ending(CallerSession.Outcome.DONE, ResultCode.OK, "")
          : ending(CallerSession.Outcome.BREACH, ResultCode.INTERNAL, "wrong: got " + text);
    } catch (CompletionException e) {
      ResultException failure = (ResultException) e.getCause();
      boolean notRun = failure.code().outcome() == Outcome.NOT_RUN;
      return ending(
          notRun ? CallerSession.Outcome.NOT_RUN : CallerSession.Outcome.OUTCOME_UNKNOWN,
          failure.code(),
          failure.getMessage());
    }
  }

  private GenerationCall call() {
    return new GenerationCall(
        "direct-" + options.seed() + "-" + request.number() + "-" + System.nanoTime(),
        request.body().orElseThrow().path("model").asText(),
        "",
        "",
        request.path().contains("chat"),
        OutboundJson.write(request.body().orElseThrow()),
        0,
        0,
        Instant.now().plusSeconds(options.timeoutSeconds()));
  }

  private void addPiece(long number, String piece) {
    chunkNanos.add(System.nanoTime());
    text.append(piece);
  }

  private CallerSession.Ending ending(
      CallerSession.Outcome outcome, ResultCode code, String detail) {
    return new CallerSession.Ending(
        request,
        outcome,
        code.number(),
        1,
        0,
        0,
        List.copyOf(chunkNanos),
        List.of(),
        System.nanoTime(),
        detail);
  }
}
