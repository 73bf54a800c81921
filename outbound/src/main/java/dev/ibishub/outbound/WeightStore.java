package dev.ibishub.outbound;

import java.util.concurrent.CompletableFuture;

/** The rate-limited store of model weights. */
public interface WeightStore {
  /**
   * Asks for leave to fetch weights now. Engines fetch by themselves; the store only lets so many
   * bytes a second pass, so a fetch is announced first.
   *
   * @param weights the name of a model, adapter, version or expert
   * @param bytes how much will be read
   * @return done when the fetch may begin; fails with {@code WEIGHT_STORE_BUSY} and a time to retry
   */
  CompletableFuture<Void> reserve(String weights, long bytes);
}
