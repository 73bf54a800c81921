package dev.ibishub.core.internal.requests;

import dev.ibishub.core.OfferResult;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** One shard of the attempt table. Thread-safe: every method holds the shard's own lock. */
public final class AttemptShard {
  private enum State {
    QUEUED,
    STARTED,
    FINISHED,
    REVOKED
  }

  /**
   * Where an attempt stands.
   *
   * @param state the state
   * @param deadline when the agent stops taking a dispatch of it
   * @param keptUntil when it may be forgotten, unless it is running
   */
  private record Attempt(State state, Instant deadline, Instant keptUntil) {
    Attempt in(State next) {
      return new Attempt(next, deadline, keptUntil);
    }

    boolean forgettable(Instant now) {
      return state != State.STARTED && !now.isBefore(keptUntil);
    }
  }

  private final int capacity;
  private final Map<String, Attempt> attempts = new HashMap<>();

  /**
   * Creates an empty shard.
   *
   * @param capacity the most attempts kept
   */
  public AttemptShard(int capacity) {
    this.capacity = capacity;
  }

  /** Queues an attempt unless it is known, too late, or there is no room. */
  public synchronized OfferResult offer(
      String attemptId, Instant deadline, Instant keptUntil, Instant now) {
    Attempt known = attempts.get(attemptId);
    if (known != null) {
      return known.state() == State.REVOKED ? OfferResult.REVOKED : OfferResult.DUPLICATE;
    }
    if (!now.isBefore(keptUntil)) {
      // It may have run here and been forgotten, so "refused, not run" could be a lie.
      return OfferResult.DUPLICATE;
    }
    if (!now.isBefore(deadline) || attempts.size() >= capacity) {
      return OfferResult.REVOKED;
    }
    attempts.put(attemptId, new Attempt(State.QUEUED, deadline, keptUntil));
    return OfferResult.QUEUED;
  }

  /** Moves a queued attempt to started, or to revoked when its deadline has passed. */
  public synchronized boolean tryStart(String attemptId, Instant now) {
    Attempt known = attempts.get(attemptId);
    if (known == null || known.state() != State.QUEUED) {
      return false;
    }
    boolean inTime = now.isBefore(known.deadline());
    attempts.put(attemptId, known.in(inTime ? State.STARTED : State.REVOKED));
    return inTime;
  }

  /** Moves a queued or unknown attempt to revoked; true when it never started and never will. */
  public synchronized boolean revoke(String attemptId, Instant keptUntil) {
    Attempt known = attempts.get(attemptId);
    if (known == null) {
      return keepTombstone(attemptId, keptUntil);
    }
    if (known.state() == State.QUEUED) {
      attempts.put(attemptId, known.in(State.REVOKED));
      return true;
    }
    return known.state() == State.REVOKED;
  }

  /** Marks a started attempt as over; it stays known against late duplicates. */
  public synchronized void finished(String attemptId, Instant now) {
    attempts.computeIfPresent(
        attemptId,
        (id, known) ->
            known.state() == State.STARTED ? forgetOrKeep(known.in(State.FINISHED), now) : known);
  }

  /** Forgets what can no longer be started by any dispatch. */
  public synchronized void expire(Instant now) {
    attempts.values().removeIf(attempt -> attempt.forgettable(now));
  }

  /** Returns how many attempts are kept. */
  public synchronized int size() {
    return attempts.size();
  }

  private static Attempt forgetOrKeep(Attempt attempt, Instant now) {
    return attempt.forgettable(now) ? null : attempt;
  }

  private boolean keepTombstone(String attemptId, Instant keptUntil) {
    if (attempts.size() >= capacity) {
      return false;
    }
    attempts.put(attemptId, new Attempt(State.REVOKED, Instant.MIN, keptUntil));
    return true;
  }
}
