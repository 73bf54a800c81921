package dev.ibishub.gateway.experts;

import java.util.concurrent.CompletableFuture;

/**
 * A client of one rank's engine. Implementations are thread-safe and do not retry.
 *
 * <p>Used on the platform of ibishub's users; the counterpart behind ibishub's own interface is
 * {@code dev.ibishub.engines.ModelEngine}.
 */
public interface RankEngine {
  /** Reads the engine's state. */
  CompletableFuture<RankState> state();

  /** Reads how often each expert was chosen for the engine's requests since the engine started. */
  CompletableFuture<Picks> picks();

  /** Reads the part of the map in use that this rank holds. */
  CompletableFuture<HeldMap> map();

  /** Sends an order. Never completes exceptionally, see {@link RankOrder.Result#UNKNOWN}. */
  CompletableFuture<RankOrder.Result> order(RankOrder order);

  /**
   * How often each expert was chosen.
   *
   * @param epoch the group's epoch
   * @param counts the counts of all experts in one row, one set of layers after the other; they
   *     only grow until the engine restarts
   */
  @SuppressWarnings("ArrayRecordComponent") // Handed on, never compared or hashed.
  record Picks(long epoch, long[] counts) {}

  /**
   * The experts that a rank holds.
   *
   * @param epoch the group's epoch
   * @param version the version of the map
   * @param experts the experts of this rank, by set of layers
   */
  @SuppressWarnings("ArrayRecordComponent") // Handed on, never compared or hashed.
  record HeldMap(long epoch, long version, int[][] experts) {}
}
