package dev.ibishub.engines;

import java.util.concurrent.CompletableFuture;

/**
 * A model engine: one replica, or one rank of a group. Implementations are thread-safe and never
 * repeat a call by themselves.
 */
public interface ModelEngine {
  /**
   * Starts an answer. Pieces go to the listener in order, on one thread at a time.
   *
   * @param call what to generate; its stream id names the answer in {@link #resume} and {@link
   *     #cancel}
   * @param listener takes the pieces
   * @return how the answer ended; fails with {@code TARGET_UNREACHABLE} when the engine surely did
   *     not take the call, and with {@code ENGINE_FAILED} when it may have
   */
  CompletableFuture<GenerationEnd> generate(GenerationCall call, GenerationListener listener);

  /**
   * Joins an answer again, from a piece on. Engines that cannot resume fail with {@code
   * STREAM_POSITION_LOST}.
   */
  CompletableFuture<GenerationEnd> resume(
      String streamId, long fromPiece, GenerationListener listener);

  /** Stops an answer; one that the engine does not know is no error. */
  CompletableFuture<Void> cancel(String streamId);

  /** Reads the engine's load, which the engine reports with a lag. */
  CompletableFuture<EngineLoad> load();

  /** Reads cache events from a sequence number on; they come late and with gaps. */
  CompletableFuture<CacheEvents> cacheEvents(long fromSequence);

  /** Reads what the engine has loaded and the highest fencing token it keeps, if it keeps one. */
  CompletableFuture<EngineState> state();

  /**
   * Gives an order. An engine that checks fencing tokens refuses a lower one with {@code
   * STALE_FENCING_TOKEN}; others obey any. Fails with {@code ORDER_UNDECIDED} when the answer was
   * lost and the order may have taken effect.
   */
  CompletableFuture<EngineState> order(EngineOrder order);

  /** Reads the state of this rank in its group. */
  CompletableFuture<RankState> rank();

  /**
   * Gives an order about the expert map. A hold or commit for a step that has begun is refused with
   * {@code STEP_ALREADY_PASSED}, a commit of a map not staged with {@code MAP_NOT_STAGED}. A commit
   * ends the hold of its own step and no other.
   */
  CompletableFuture<RankState> orderRank(RankOrder order);
}
