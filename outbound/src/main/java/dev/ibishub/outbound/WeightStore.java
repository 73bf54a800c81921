package dev.ibishub.outbound;

import java.util.concurrent.CompletableFuture;

/** Client of the rate-limited store of model weights. */
public interface WeightStore {
  /**
   * Reserves bandwidth for fetching weights now. Engines fetch the weights themselves, but the
   * store limits the bytes per second, so each fetch is reserved first.
   *
   * @param weights the name of a model, adapter, version or expert
   * @param bytes the number of bytes to fetch
   * @return completes when the fetch may begin; fails with {@code WEIGHT_STORE_BUSY} and a time to
   *     retry
   */
  CompletableFuture<Void> reserve(String weights, long bytes);
}
