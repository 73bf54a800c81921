package dev.ibishub.gateway.experts;

import java.util.concurrent.CompletableFuture;

/** The engine of one rank. Implementations are thread-safe and repeat nothing by themselves. */
public interface RankEngine {
  /** Reads what the engine says of itself. */
  CompletableFuture<RankState> state();

  /**
   * Reads how often the engine's requests chose each expert since it started.
   *
   * @return by set and expert in one row
   */
  CompletableFuture<Picks> picks();

  /** Reads the map in use, as far as this rank holds it. */
  CompletableFuture<HeldMap> map();

  /** Gives an order; never fails, see {@link RankOrder.Result#UNKNOWN}. */
  CompletableFuture<RankOrder.Result> order(RankOrder order);

  /**
   * How often experts were chosen.
   *
   * @param epoch the group's epoch
   * @param counts by set and expert in one row; only grow within a life of the engine
   */
  @SuppressWarnings("ArrayRecordComponent") // Handed on, never compared or hashed.
  record Picks(long epoch, long[] counts) {}

  /**
   * The experts that a rank holds.
   *
   * @param epoch the group's epoch
   * @param version the version of the map
   * @param experts the experts of this rank, by set
   */
  @SuppressWarnings("ArrayRecordComponent") // Handed on, never compared or hashed.
  record HeldMap(long epoch, long version, int[][] experts) {}
}
