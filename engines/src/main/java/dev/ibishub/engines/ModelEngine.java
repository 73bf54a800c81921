package dev.ibishub.engines;

import java.util.concurrent.CompletableFuture;

/**
 * Client of a model engine, which is one replica or one rank of a group. Implementations are
 * thread-safe and never retry a call by themselves.
 */
public interface ModelEngine {
  /**
   * Generates an answer. The pieces go to the listener in order, never concurrently.
   *
   * @param call what to generate; its stream id identifies the answer in {@link #resume} and {@link
   *     #cancel}
   * @param listener receives the pieces
   * @return how the answer ended; fails with {@code TARGET_UNREACHABLE} if the engine certainly did
   *     not receive the call, and with {@code ENGINE_FAILED} if it may have
   */
  CompletableFuture<GenerationEnd> generate(GenerationCall call, GenerationListener listener);

  /**
   * Resumes an answer from the given piece. Engines that cannot resume fail with {@code
   * STREAM_POSITION_LOST}.
   */
  CompletableFuture<GenerationEnd> resume(
      String streamId, long fromPiece, GenerationListener listener);

  /** Stops an answer; does nothing if the engine does not know it. */
  CompletableFuture<Void> cancel(String streamId);

  /** Reads the engine's load, which is stale by the engine's reporting lag. */
  CompletableFuture<EngineLoad> load();

  /** Reads cache events from a sequence number on; they are delayed and may have gaps. */
  CompletableFuture<CacheEvents> cacheEvents(long fromSequence);

  /** Reads what the engine has loaded and, if the engine keeps it, the highest fencing token. */
  CompletableFuture<EngineState> state();

  /**
   * Sends an order. An engine that checks fencing tokens refuses a token below the highest one with
   * {@code STALE_FENCING_TOKEN}; other engines obey any. Fails with {@code ORDER_UNDECIDED} if the
   * answer was lost and the order may have taken effect.
   */
  CompletableFuture<EngineState> order(EngineOrder order);

  /** Reads the state of this rank in its group. */
  CompletableFuture<RankState> rank();

  /**
   * Sends an order about the expert map. A hold or commit for a step that has begun is refused with
   * {@code STEP_ALREADY_PASSED}, and a commit of a map that is not staged with {@code
   * MAP_NOT_STAGED}. A commit ends only the hold of its own step.
   */
  CompletableFuture<RankState> orderRank(RankOrder order);
}
