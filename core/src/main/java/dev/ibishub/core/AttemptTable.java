package dev.ibishub.core;

import dev.ibishub.core.internal.requests.AttemptShard;
import java.time.Instant;
import java.util.Arrays;
import java.util.stream.IntStream;

/**
 * The agent's word on every attempt: queued, then either started or revoked, once. It is what "not
 * run" rests on.
 *
 * <p>A dispatch may be delayed past its own revocation: the caller would be told "not run" while
 * the late dispatch runs. A revocation therefore leaves a tombstone, also for an attempt never
 * seen. A tombstone, and an attempt that is over, is kept until the clock has passed the attempt's
 * deadline by the bound on clock skew. From then on a late dispatch is ignored for its deadline
 * alone, also when the clock is set back by no more than that bound. A revocation names no
 * deadline, so its tombstone lasts as long as the longest deadline that {@link #offer} takes.
 *
 * <p>A table knows only its own process's attempts, and forgets them after their deadline. The
 * asker therefore believes a revocation only from the incarnation that the dispatch was sent to,
 * and only before the attempt's deadline; {@link RequestTracker} sees to both.
 *
 * <p>Thread-safe: attempts are spread over shards, each under its own lock. Memory is bounded: a
 * full shard takes no new attempt and promises no new revocation.
 *
 * <pre>{@code
 * if (table.offer(id, deadline, now) == OfferResult.QUEUED) {
 *   queue.add(id);
 * }
 * // later, when the attempt's turn comes
 * if (table.tryStart(id, clock.instant())) {
 *   engine.generate(call, listener).whenComplete((end, e) -> table.finished(id, clock.instant()));
 * }
 * }</pre>
 */
public final class AttemptTable {
  private final AttemptTableOptions options;
  private final AttemptShard[] shards;

  private AttemptTable(AttemptTableOptions options) {
    this.options = options;
    int capacity = options.maximumAttempts() / options.shards();
    this.shards =
        IntStream.range(0, options.shards())
            .mapToObj(shard -> new AttemptShard(capacity))
            .toArray(AttemptShard[]::new);
  }

  /**
   * Creates an empty table.
   *
   * @param options its bounds
   * @return the table
   */
  public static AttemptTable create(AttemptTableOptions options) {
    return new AttemptTable(options);
  }

  /**
   * Takes an attempt in.
   *
   * @param attemptId unique name of the attempt
   * @param deadline from which on it is never started; one that lies further ahead than the options
   *     allow is refused, for its tombstone could be forgotten before it
   * @param now the time
   * @return whether it waits now, was known already, or never starts
   */
  public OfferResult offer(String attemptId, Instant deadline, Instant now) {
    Instant furthest = now.plus(options.longestDeadline()).plus(options.clockSkew());
    if (deadline.isAfter(furthest)) {
      return OfferResult.REVOKED;
    }
    return shard(attemptId).offer(attemptId, deadline, deadline.plus(options.clockSkew()), now);
  }

  /**
   * Starts a waiting attempt. The caller must then run it, and call {@link #finished} at its end.
   *
   * @param attemptId the attempt
   * @param now the time
   * @return true once at most for an attempt; false when it was revoked, is unknown, has started
   *     before, or its deadline has passed, which revokes it
   */
  public boolean tryStart(String attemptId, Instant now) {
    return shard(attemptId).tryStart(attemptId, now);
  }

  /**
   * Withdraws an attempt that has not started.
   *
   * @param attemptId the attempt, perhaps one never seen
   * @param now the time
   * @return true when it has not started and never will; false when it may have
   */
  public boolean revoke(String attemptId, Instant now) {
    Instant keptUntil =
        now.plus(options.longestDeadline()).plus(options.clockSkew()).plus(options.clockSkew());
    return shard(attemptId).revoke(attemptId, keptUntil);
  }

  /**
   * Notes that a started attempt is over.
   *
   * @param attemptId the attempt
   * @param now the time
   */
  public void finished(String attemptId, Instant now) {
    shard(attemptId).finished(attemptId, now);
  }

  /**
   * Forgets what no dispatch can start any more. To be called now and then.
   *
   * @param now the time
   */
  public void expire(Instant now) {
    Arrays.stream(shards).forEach(shard -> shard.expire(now));
  }

  /**
   * Returns how many attempts and tombstones are kept.
   *
   * @return the count, not exact while other threads write
   */
  public int size() {
    return Arrays.stream(shards).mapToInt(AttemptShard::size).sum();
  }

  private AttemptShard shard(String attemptId) {
    int hash = attemptId.hashCode();
    return shards[(hash ^ (hash >>> 16)) & (shards.length - 1)];
  }
}
