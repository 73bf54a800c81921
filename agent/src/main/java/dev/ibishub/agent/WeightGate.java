package dev.ibishub.agent;

import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.outbound.WeightReservation;
import dev.ibishub.outbound.WeightStore;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;

/**
 * Asks the weight store for leave, and not again before the time that its last refusal gave. Not
 * thread-safe: for calls that go one at a time.
 */
final class WeightGate {
  private final WeightStore store;
  private final InstantSource clock;
  private Instant retryAt = Instant.MIN;

  WeightGate(WeightStore store, InstantSource clock) {
    this.store = store;
    this.clock = clock;
  }

  CompletableFuture<Void> reserve(WeightReservation wanted) {
    if (clock.instant().isBefore(retryAt)) {
      return CompletableFuture.failedFuture(
          new ResultException(
              ResultCode.WEIGHT_STORE_BUSY, "not before the store's time", retryAt));
    }
    return store
        .reserve(wanted.weights(), wanted.bytes())
        .whenComplete(
            (unused, failure) -> {
              if (failure != null && Failures.of(failure) instanceof ResultException result) {
                retryAt = result.retryAt().orElse(Instant.MIN);
              }
            });
  }
}
