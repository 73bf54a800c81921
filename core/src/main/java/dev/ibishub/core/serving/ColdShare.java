package dev.ibishub.core.serving;

import java.util.Optional;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

/** One entry's share of the limit of one cold target. Not thread-safe. */
final class ColdShare {
  private final TokenBucket bucket = new TokenBucket();
  private final Supplier<Optional<ColdLimit>> limit;
  private final long closedUntil;
  private Optional<ColdLimit> appliedLimit = Optional.empty();
  private long until;

  /**
   * Creates a share that is empty until {@link #update}.
   *
   * @param limit the limit in force; empty while there is none
   * @param closedUntil until when nothing is sent at all, milliseconds
   * @param until when the target stops being cold, milliseconds
   */
  ColdShare(Supplier<Optional<ColdLimit>> limit, long closedUntil, long until) {
    this.limit = limit;
    this.closedUntil = closedUntil;
    this.until = until;
  }

  /** Extends the cold period; an earlier end than the one known changes nothing. */
  void extend(long newUntil) {
    until = Math.max(until, newUntil);
  }

  boolean isOver(long now) {
    return now >= until;
  }

  /** Sets the rate from the limit in force, after the entries that share it have changed. */
  void update(ToDoubleFunction<ColdLimit> division, long now) {
    appliedLimit = limit.get();
    bucket.setRate(appliedLimit.map(division::applyAsDouble).orElse(0.0), now);
  }

  /** Whether a request may be sent now, as far as the limit of a cold target matters. */
  boolean allows(ToDoubleFunction<ColdLimit> division, long now) {
    if (isOver(now)) {
      return true;
    }
    if (!limit.get().equals(appliedLimit)) {
      update(division, now);
    }
    return appliedLimit.isEmpty() || (now >= closedUntil && bucket.hasToken(now));
  }

  void onSent(long now) {
    bucket.take(now);
  }
}
