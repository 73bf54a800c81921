package dev.ibishub.core;

import dev.ibishub.core.internal.requests.ClaimEntry;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Decides which agent runs a call that must run at most once: the first claim of a key in the order
 * of the log wins, at every reader.
 *
 * <p>Only the winner may start the call, and its memory alone records that it did, so that it
 * starts the call once. If the winner dies, the outcome stays unknown, as nobody can tell whether
 * the call began. A winner that is paused between reading its claim back and starting the call does
 * no harm, as no other process ever starts it.
 *
 * <p>Memory is bounded: over the bound the claims with the oldest keys are evicted, and from then
 * on an unknown key of that age or older is refused. The same rule covers claims that the log's
 * retention has deleted.
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

  /** Newest creation time of a key whose claim was evicted or applied after the key's lifetime. */
  private Instant watermark = Instant.MIN;

  private ClaimLedger(ProcessIncarnation self, ClaimLedgerOptions options) {
    this.self = self;
    this.options = options;
  }

  /**
   * Creates an empty ledger. All records that the log still has must be applied before the first
   * decision.
   *
   * @param self this process and its incarnation
   * @param options bounds of the ledger
   * @return the ledger
   */
  public static ClaimLedger create(ProcessIncarnation self, ClaimLedgerOptions options) {
    return new ClaimLedger(self, options);
  }

  /**
   * Applies the next record of the log.
   *
   * @param claim the record
   * @param now the current time
   */
  public void apply(ClaimRecord claim, Instant now) {
    evictOldest(now);
    if (!isAfterWatermark(claim.key())) {
      return;
    }
    if (!isInLifetime(claim.key(), now)) {
      // If the clock is set back, a later claim of this key must not become the first one.
      watermark = claim.key().createdAt();
      return;
    }
    if (claims.putIfAbsent(claim.claimKey(), new ClaimEntry(claim)) == null) {
      oldestFirst.add(claim);
      evictOldest(now);
    }
  }

  /**
   * Decides a claim from the records applied so far. If the claim is won, the request's attempt is
   * the one to run the call.
   *
   * @param request the call to be claimed
   * @param now the current time
   * @return the result, or empty if no record of this key was applied yet
   * @throws ResultException with {@code MALFORMED_REQUEST} for a key whose time lies in the future,
   *     {@code IDEMPOTENCY_KEY_EXPIRED} for an unknown key whose claim may have been evicted or
   *     deleted, and {@code IDEMPOTENCY_KEY_REUSED} for a key that was used for another call
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
    if (!isInLifetime(request.key(), now) || !isAfterWatermark(request.key())) {
      throw new ResultException(
          ResultCode.IDEMPOTENCY_KEY_EXPIRED,
          "Idempotency-Key: made at " + request.key().createdAt() + ", too long ago to be known");
    }
    return Optional.empty();
  }

  /**
   * Gives back a won call that was definitely not started, so that a later attempt of this process
   * can win it.
   *
   * @param key the key of the call
   * @param attemptId the attempt that had won it
   */
  public void notStarted(ClaimKey key, String attemptId) {
    find(key).ifPresent(entry -> entry.notStarted(attemptId));
  }

  /**
   * Notes that a won call ended: its answer is complete or was given up.
   *
   * @param key the key of the call
   * @param attemptId the attempt that ran it
   */
  public void finished(ClaimKey key, String attemptId) {
    find(key).ifPresent(entry -> entry.finished(attemptId));
  }

  /** Returns the number of claims in memory. */
  public int size() {
    return claims.size();
  }

  private Optional<ClaimEntry> find(ClaimKey key) {
    return Optional.ofNullable(claims.get(key));
  }

  private boolean isInLifetime(IdempotencyKey key, Instant now) {
    return now.isBefore(key.createdAt().plus(options.keyLifetime()));
  }

  private boolean isAfterWatermark(IdempotencyKey key) {
    return key.createdAt().isAfter(watermark);
  }

  private void evictOldest(Instant now) {
    while (!oldestFirst.isEmpty() && mayEvict(oldestFirst.peek(), now)) {
      ClaimRecord oldest = oldestFirst.poll();
      claims.remove(oldest.claimKey());
      // If the clock is set back, the evicted key must not count as within its lifetime again.
      watermark = oldest.key().createdAt();
    }
  }

  private boolean mayEvict(ClaimRecord claim, Instant now) {
    return claims.size() > options.maximumClaims() || !isInLifetime(claim.key(), now);
  }
}
