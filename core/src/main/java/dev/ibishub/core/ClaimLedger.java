package dev.ibishub.core;

import dev.ibishub.core.internal.requests.ClaimEntry;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Decides which agent runs a call that may run once only: the first claim of a key in the order of
 * the log wins, for every reader alike.
 *
 * <p>The winner's memory is then the authority: it alone may start the call, and starts it once. A
 * winner that dies leaves the outcome unknown for good, for nobody can tell whether the call began.
 * A winner that is paused between reading its claim back and the start does no harm, as no other
 * process ever starts the call.
 *
 * <p>Memory is bounded: over the bound the oldest keys are forgotten, and any unknown key as old as
 * these is refused from then on. The same rule guards against a claim that the log has dropped.
 *
 * <p>Not thread-safe.
 *
 * <pre>{@code
 * Optional<ClaimResult> known = ledger.tryClaim(request, now);
 * // if empty: append a ClaimRecord, apply all records of the log up to it in order, then
 * ClaimResult result = ledger.tryClaim(request, now).orElseThrow();
 * }</pre>
 */
public final class ClaimLedger {
  private final ProcessIncarnation self;
  private final ClaimLedgerOptions options;
  private final Map<ClaimKey, ClaimEntry> claims = new HashMap<>();
  private final PriorityQueue<ClaimRecord> oldestFirst =
      new PriorityQueue<>(Comparator.comparing(claim -> claim.key().createdAt()));
  private Instant horizon = Instant.MIN;

  private ClaimLedger(ProcessIncarnation self, ClaimLedgerOptions options) {
    this.self = self;
    this.options = options;
  }

  /**
   * Creates an empty ledger. All records that the log keeps are to be applied before its first
   * decision.
   *
   * @param self this run of this process
   * @param options its bounds
   * @return the ledger
   */
  public static ClaimLedger create(ProcessIncarnation self, ClaimLedgerOptions options) {
    return new ClaimLedger(self, options);
  }

  /**
   * Applies the next record of the log.
   *
   * @param claim the record
   * @param now the time
   */
  public void apply(ClaimRecord claim, Instant now) {
    forgetOldest(now);
    if (!isAfterHorizon(claim.key())) {
      return;
    }
    if (!isInLifetime(claim.key(), now)) {
      // Should the clock be set back, a later claim of this key must not look like the first.
      horizon = claim.key().createdAt();
      return;
    }
    if (claims.putIfAbsent(claim.claimKey(), new ClaimEntry(claim)) == null) {
      oldestFirst.add(claim);
      forgetOldest(now);
    }
  }

  /**
   * Decides a claim from what was read of the log. A win gives the call to the request's attempt.
   *
   * @param request the claim
   * @param now the time
   * @return the result, or empty when no record of this key was applied yet
   * @throws ResultException with {@code MALFORMED_REQUEST} for a key from the future, {@code
   *     IDEMPOTENCY_KEY_EXPIRED} for one too old to be known, and {@code IDEMPOTENCY_KEY_REUSED}
   *     for one that was used for another call
   */
  public Optional<ClaimResult> tryClaim(ClaimRequest request, Instant now) {
    if (request.key().createdAt().isAfter(now.plus(options.clockSkew()))) {
      throw new ResultException(
          ResultCode.MALFORMED_REQUEST, "Idempotency-Key: its time lies in the future");
    }
    ClaimEntry entry = claims.get(request.claimKey());
    if (entry != null) {
      return Optional.of(entry.decide(self, request));
    }
    if (!isInLifetime(request.key(), now) || !isAfterHorizon(request.key())) {
      throw new ResultException(
          ResultCode.IDEMPOTENCY_KEY_EXPIRED,
          "Idempotency-Key: made at " + request.key().createdAt() + ", too long ago to be known");
    }
    return Optional.empty();
  }

  /**
   * Gives a won call back that was surely not started, so that the next attempt here may win it.
   *
   * @param key the key of the call
   * @param attemptId the attempt that had won it
   */
  public void notStarted(ClaimKey key, String attemptId) {
    find(key).ifPresent(entry -> entry.notStarted(attemptId));
  }

  /**
   * Notes that the answer of a won call is whole or given up.
   *
   * @param key the key of the call
   * @param attemptId the attempt that ran it
   */
  public void finished(ClaimKey key, String attemptId) {
    find(key).ifPresent(entry -> entry.finished(attemptId));
  }

  /**
   * Returns how many claims are kept.
   *
   * @return the count
   */
  public int size() {
    return claims.size();
  }

  private Optional<ClaimEntry> find(ClaimKey key) {
    return Optional.ofNullable(claims.get(key));
  }

  private boolean isInLifetime(IdempotencyKey key, Instant now) {
    return now.isBefore(key.createdAt().plus(options.keyLifetime()));
  }

  private boolean isAfterHorizon(IdempotencyKey key) {
    return key.createdAt().isAfter(horizon);
  }

  private void forgetOldest(Instant now) {
    while (!oldestFirst.isEmpty() && mayForget(oldestFirst.peek(), now)) {
      ClaimRecord oldest = oldestFirst.poll();
      claims.remove(oldest.claimKey());
      // A clock that is set back must not bring the forgotten key's time back into its lifetime.
      horizon = oldest.key().createdAt();
    }
  }

  private boolean mayForget(ClaimRecord claim, Instant now) {
    return claims.size() > options.maximumClaims() || !isInLifetime(claim.key(), now);
  }
}
