package dev.ibishub.core.internal.requests;

import dev.ibishub.core.OfferResult;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** One shard of an {@link dev.ibishub.core.AttemptTable}. Thread-safe by one lock. */
public final class AttemptShard {
  private enum State {
    QUEUED,
    STARTED,
    FINISHED,
    REVOKED
  }

  /**
   * State of an attempt.
   *
   * @param state the state
   * @param deadline time from which the agent refuses a dispatch of the attempt
   * @param keptUntil time from which the attempt may be removed unless it is running
   */
  private record Attempt(State state, Instant deadline, Instant keptUntil) {
    Attempt withState(State next) {
      return new Attempt(next, deadline, keptUntil);
    }

    boolean isExpired(Instant now) {
      return state != State.STARTED && !now.isBefore(keptUntil);
    }
  }

  private final int capacity;
  private final Map<String, Attempt> attempts = new HashMap<>();

  /**
   * Creates an empty shard.
   *
   * @param capacity maximum number of attempts kept
   */
  public AttemptShard(int capacity) {
    this.capacity = capacity;
  }

  /** Queues an attempt unless it is known or too late, or the shard is full. */
  public synchronized OfferResult offer(
      String attemptId, Instant deadline, Instant keptUntil, Instant now) {
    Attempt known = attempts.get(attemptId);
    if (known != null) {
      return known.state() == State.REVOKED ? OfferResult.REVOKED : OfferResult.DUPLICATE;
    }
    if (!now.isBefore(keptUntil)) {
      // The attempt may have run here and been removed since, so "not run" could be false.
      return OfferResult.DUPLICATE;
    }
    if (!now.isBefore(deadline) || attempts.size() >= capacity) {
      return OfferResult.REVOKED;
    }
    attempts.put(attemptId, new Attempt(State.QUEUED, deadline, keptUntil));
    return OfferResult.QUEUED;
  }

  /**
   * Moves a queued attempt to started, or to revoked if its deadline has passed. Returns whether it
   * was started.
   */
  public synchronized boolean tryStart(String attemptId, Instant now) {
    Attempt known = attempts.get(attemptId);
    if (known == null || known.state() != State.QUEUED) {
      return false;
    }
    boolean inTime = now.isBefore(known.deadline());
    attempts.put(attemptId, known.withState(inTime ? State.STARTED : State.REVOKED));
    return inTime;
  }

  /**
   * Moves a queued or unknown attempt to revoked. Returns true if it has not started and never
   * will.
   */
  public synchronized boolean revoke(String attemptId, Instant keptUntil) {
    Attempt known = attempts.get(attemptId);
    if (known == null) {
      return addTombstone(attemptId, keptUntil);
    }
    if (known.state() == State.QUEUED) {
      attempts.put(attemptId, known.withState(State.REVOKED));
      return true;
    }
    return known.state() == State.REVOKED;
  }

  /** Moves a started attempt to finished. It is kept, so that late duplicates are recognized. */
  public synchronized void finished(String attemptId, Instant now) {
    attempts.computeIfPresent(
        attemptId,
        (id, known) ->
            known.state() == State.STARTED
                ? nullIfExpired(known.withState(State.FINISHED), now)
                : known);
  }

  /** Removes the attempts that no dispatch can start any more. */
  public synchronized void expire(Instant now) {
    attempts.values().removeIf(attempt -> attempt.isExpired(now));
  }

  /** Returns the number of attempts kept. */
  public synchronized int size() {
    return attempts.size();
  }

  private static Attempt nullIfExpired(Attempt attempt, Instant now) {
    return attempt.isExpired(now) ? null : attempt;
  }

  private boolean addTombstone(String attemptId, Instant keptUntil) {
    if (attempts.size() >= capacity) {
      return false;
    }
    attempts.put(attemptId, new Attempt(State.REVOKED, Instant.MIN, keptUntil));
    return true;
  }
}
