package dev.ibishub.core;

import dev.ibishub.core.internal.requests.AttemptShard;
import java.time.Instant;
import java.util.Arrays;
import java.util.stream.IntStream;

/**
 * The agent's record of every attempt: queued, then either started or revoked, never both. The
 * answer "not run" depends on it.
 *
 * <p>A dispatch may be delayed until after its own revocation; without further measures the caller
 * would be told "not run" and the late dispatch would run. A revocation therefore leaves a
 * tombstone, also for an unknown attempt. A tombstone or finished attempt is kept until the clock
 * has passed the attempt's deadline by the bound on clock skew. From then on the deadline alone
 * causes a late dispatch to be ignored, even if the clock is set back by up to that bound. A
 * revocation does not carry the deadline, so its tombstone is kept for the longest deadline that
 * {@link #offer} accepts.
 *
 * <p>A table knows only the attempts of its own process, and removes them after their deadline. An
 * entry therefore accepts a revocation only from the incarnation to which the dispatch was sent,
 * and only before the attempt's deadline; {@link RequestTracker} checks both.
 *
 * <p>Thread-safe: attempts are spread over shards, each under its own lock. Memory is bounded: a
 * full shard accepts no new attempt and confirms no revocation of an unknown one.
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
   * @param options bounds of the table
   * @return the table
   */
  public static AttemptTable create(AttemptTableOptions options) {
    return new AttemptTable(options);
  }

  /**
   * Adds an attempt.
   *
   * @param attemptId unique id of the attempt
   * @param deadline time from which it is never started; refused if further ahead than the options
   *     allow, since its tombstone could be removed before it
   * @param now the current time
   * @return whether it was queued, is a duplicate, or never starts
   */
  public OfferResult offer(String attemptId, Instant deadline, Instant now) {
    Instant furthest = now.plus(options.longestDeadline()).plus(options.clockSkew());
    if (deadline.isAfter(furthest)) {
      return OfferResult.REVOKED;
    }
    return shard(attemptId).offer(attemptId, deadline, deadline.plus(options.clockSkew()), now);
  }

  /**
   * Starts a queued attempt. If this returns true, the caller must run the attempt and call {@link
   * #finished} at its end.
   *
   * @param attemptId id of the attempt
   * @param now the current time
   * @return true at most once for each attempt; false if it is unknown, revoked or already started,
   *     or if its deadline has passed, which revokes it
   */
  public boolean tryStart(String attemptId, Instant now) {
    return shard(attemptId).tryStart(attemptId, now);
  }

  /**
   * Revokes an attempt that has not started.
   *
   * @param attemptId id of the attempt, which may be unknown here
   * @param now the current time
   * @return true if it has not started and never will; false if it may have started
   */
  public boolean revoke(String attemptId, Instant now) {
    Instant keptUntil =
        now.plus(options.longestDeadline()).plus(options.clockSkew()).plus(options.clockSkew());
    return shard(attemptId).revoke(attemptId, keptUntil);
  }

  /**
   * Records that a started attempt has ended.
   *
   * @param attemptId id of the attempt
   * @param now the current time
   */
  public void finished(String attemptId, Instant now) {
    shard(attemptId).finished(attemptId, now);
  }

  /**
   * Removes the attempts and tombstones that are no longer needed. Must be called regularly.
   *
   * @param now the current time
   */
  public void expire(Instant now) {
    Arrays.stream(shards).forEach(shard -> shard.expire(now));
  }

  /**
   * Returns the number of attempts and tombstones kept.
   *
   * @return the count, approximate while other threads write
   */
  public int size() {
    return Arrays.stream(shards).mapToInt(AttemptShard::size).sum();
  }

  private AttemptShard shard(String attemptId) {
    int hash = attemptId.hashCode();
    return shards[(hash ^ (hash >>> 16)) & (shards.length - 1)];
  }
}
