package dev.ibishub.standins;

import dev.ibishub.engines.GenerationCall;
import dev.ibishub.engines.GenerationEnd;
import java.util.List;
import java.util.Optional;

/**
 * An answer that is generated piece by piece and keeps all its pieces, so that a client can resume
 * it. Thread-safe.
 */
final class GeneratedStream {
  private final GenerationCall call;
  private final List<String> tokens;
  private final int tokensPerPiece;
  private final long promptTokens;
  private long pieces;
  private GenerationEnd end;
  // Guarded by the group's lock, not by this object's.
  private long prefillStepsLeft;

  /**
   * Creates an answer of which nothing is generated yet.
   *
   * @param tokens all tokens that will be generated
   * @param tokensPerPiece number of tokens in a piece, and in a step
   */
  GeneratedStream(GenerationCall call, List<String> tokens, int tokensPerPiece, long promptTokens) {
    this.call = call;
    this.tokens = tokens;
    this.tokensPerPiece = tokensPerPiece;
    this.promptTokens = promptTokens;
  }

  GenerationCall call() {
    return call;
  }

  void setPrefillSteps(long steps) {
    prefillStepsLeft = steps;
  }

  /** Runs one step and returns the number of tokens that it generated; 0 during prefill. */
  int advance() {
    if (prefillStepsLeft > 0) {
      prefillStepsLeft--;
      return 0;
    }
    return emitPiece();
  }

  synchronized void cancel() {
    if (end == null) {
      finish("cancelled");
    }
  }

  synchronized boolean finished() {
    return end != null;
  }

  synchronized long pieces() {
    return pieces;
  }

  synchronized Optional<GenerationEnd> end() {
    return Optional.ofNullable(end);
  }

  /** Waits for the piece with the given number; empty when the answer ends before it. */
  synchronized Optional<String> awaitPiece(long number) throws InterruptedException {
    while (pieces <= number && end == null) {
      wait();
    }
    return number < pieces ? Optional.of(text(number)) : Optional.empty();
  }

  private synchronized int emitPiece() {
    if (end != null) {
      return 0;
    }
    int before = generated();
    pieces++;
    int after = generated();
    if (after == tokens.size()) {
      finish(after == call.maximumTokens() ? "length" : "stop");
    }
    notifyAll();
    return after - before;
  }

  private void finish(String reason) {
    end = new GenerationEnd(pieces, promptTokens, generated(), reason);
    notifyAll();
  }

  private int generated() {
    return (int) Math.min(tokens.size(), pieces * tokensPerPiece);
  }

  private String text(long number) {
    int from = (int) (number * tokensPerPiece);
    return String.join("", tokens.subList(from, Math.min(tokens.size(), from + tokensPerPiece)));
  }
}
