package dev.ibishub.agent;

import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.outbound.WeightReservation;
import dev.ibishub.outbound.WeightStore;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;

/**
 * Reserves bandwidth at the weight store, and after a refusal does not ask again before the retry
 * time that the store gave. Not thread-safe: calls must not overlap.
 */
final class WeightReserver {
  private final WeightStore store;
  private final InstantSource clock;
  private Instant retryAt = Instant.MIN;

  WeightReserver(WeightStore store, InstantSource clock) {
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
              if (failure != null
                  && FutureFailures.causeOf(failure) instanceof ResultException result) {
                retryAt = result.retryAt().orElse(Instant.MIN);
              }
            });
  }
}
