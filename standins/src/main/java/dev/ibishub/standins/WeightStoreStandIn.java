package dev.ibishub.standins;

import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.outbound.WeightReservation;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;

/**
 * The rate-limited weight store: one fetch runs at a time and takes as long as its bytes need at
 * the configured rate. Thread-safe under its own lock.
 */
final class WeightStoreStandIn {
  private final Object lock = new Object();
  private final double bytesPerSecond;
  private Instant freeAt = Instant.MIN;
  private long grantedReservations;
  private long grantedBytes;
  private long refused;

  /** The answer to {@code GET /control/reservations}. */
  record Audit(long grantedReservations, long grantedBytes, long refused) {}

  WeightStoreStandIn(double bytesPerSecond) {
    this.bytesPerSecond = bytesPerSecond;
  }

  StandInReply handle(StandInRequest request) throws IOException {
    if (request.is("POST", "/v1/reservations")) {
      reserve(request.json(WeightReservation.class));
      return StandInReply.empty();
    }
    if (request.is("GET", "/control/reservations")) {
      synchronized (lock) {
        return StandInReply.json(new Audit(grantedReservations, grantedBytes, refused));
      }
    }
    return StandInReply.refusal(ResultCode.NOT_FOUND, "no such path");
  }

  private void reserve(WeightReservation reservation) {
    synchronized (lock) {
      Instant now = Instant.now();
      if (freeAt.isAfter(now)) {
        refused++;
        throw new ResultException(ResultCode.WEIGHT_STORE_BUSY, "another fetch runs", freeAt);
      }
      double seconds = reservation.bytes() / bytesPerSecond;
      freeAt = now.plus(Duration.ofNanos((long) (seconds * 1e9)));
      grantedReservations++;
      grantedBytes += reservation.bytes();
    }
  }
}
