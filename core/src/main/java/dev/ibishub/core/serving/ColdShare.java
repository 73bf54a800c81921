package dev.ibishub.core.serving;

import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

/** One entry's share of the limit of one cold target. Not thread-safe. */
final class ColdShare {
  private final TokenBucket bucket = new TokenBucket();
  private final Supplier<Optional<ColdLimit>> limit;
  private final long closedUntil;
  private Optional<ColdLimit> appliedLimit = Optional.empty();
  private Set<String> appliedHosts = Set.of();
  private long until;

  /**
   * Creates an empty share.
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

  /**
   * Whether a request may be sent now, as far as the limit of a cold target matters. The share is
   * computed here only when it is needed: after a restart of all, each entry hears of hundreds of
   * others one by one while thousands of targets are cold.
   *
   * @param hosts the entries that share the limit
   * @param division this entry's share of a limit among these
   */
  boolean allows(Set<String> hosts, ToDoubleFunction<ColdLimit> division, long now) {
    if (isOver(now)) {
      return true;
    }
    Optional<ColdLimit> inForce = limit.get();
    if (!inForce.equals(appliedLimit) || !hosts.equals(appliedHosts)) {
      appliedLimit = inForce;
      appliedHosts = hosts;
      bucket.setRate(inForce.map(division::applyAsDouble).orElse(0.0), now);
    }
    return appliedLimit.isEmpty() || (now >= closedUntil && bucket.hasToken(now));
  }

  void onSent(long now) {
    bucket.take(now);
  }
}
