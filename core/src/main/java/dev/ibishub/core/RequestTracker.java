package dev.ibishub.core;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * What the entry knows of one request's attempts, and so what it may say and do.
 *
 * <p>Once a dispatch has left the entry, the attempt may run at any later time, whatever became of
 * the connection. Only two things prove that it did not: the agent's word (a revocation, or an end
 * whose code says "not run"), or that the bytes never left. All else is outcome unknown.
 *
 * <p>The agent's word counts only from the incarnation that the dispatch went to: one that
 * restarted knows nothing of what ran before. A revocation counts only before the attempt's
 * deadline, as the agent forgets attempts after it.
 *
 * <p>Not thread-safe: the request's owner guards it.
 *
 * <pre>{@code
 * RequestTracker tracker = RequestTracker.of(Repeatability.MAY_BE_REPEATED, deadline);
 * tracker.dispatched(attemptId, agentIncarnation);
 * tracker.linkLost(attemptId, ResultCode.TARGET_LOST);
 * if (tracker.mayDispatch(now)) {
 *   // choose another target, under a new attempt id
 * } else {
 *   tracker.finalCode(ResultCode.NO_TARGET).ifPresent(caller::finish);
 * }
 * }</pre>
 */
public final class RequestTracker {
  private enum State {
    OPEN,
    NOT_RUN,
    UNKNOWN,
    DONE
  }

  /**
   * What is known of one attempt.
   *
   * @param incarnation of the agent that it was sent to
   * @param state the state
   * @param code why it is in that state, null while it is open
   */
  private record Attempt(long incarnation, State state, ResultCode code) {}

  private final Repeatability repeatability;
  private final Instant deadline;
  private final Map<String, Attempt> attempts = new LinkedHashMap<>();
  private boolean delivered;
  private boolean acceptsRestart;

  private RequestTracker(Repeatability repeatability, Instant deadline) {
    this.repeatability = repeatability;
    this.deadline = deadline;
  }

  /**
   * Creates the tracker of a request that has no attempt yet.
   *
   * @param repeatability whether it may run more than once
   * @param deadline of the request and of each of its attempts
   * @return the tracker
   */
  public static RequestTracker of(Repeatability repeatability, Instant deadline) {
    return new RequestTracker(
        Objects.requireNonNull(repeatability), Objects.requireNonNull(deadline));
  }

  /** Notes that the caller takes an answer that starts anew after a part of another. */
  public void acceptRestart() {
    acceptsRestart = true;
  }

  /**
   * Notes a dispatch, before its first byte is handed to the connection.
   *
   * @param attemptId a new name, never used for another attempt
   * @param incarnation of the agent that it goes to
   */
  public void dispatched(String attemptId, long incarnation) {
    Attempt attempt = new Attempt(incarnation, State.OPEN, null);
    if (attempts.putIfAbsent(attemptId, attempt) != null) {
      throw new IllegalStateException("attempt " + attemptId + " was dispatched before");
    }
  }

  /**
   * Notes the proof that none of a dispatch's bytes left this process.
   *
   * @param attemptId the attempt
   * @param code why, a code that says "not run"
   */
  public void neverSent(String attemptId, ResultCode code) {
    settle(attemptId, State.NOT_RUN, code);
  }

  /**
   * Notes the agent's answer to a revocation.
   *
   * @param attemptId the attempt
   * @param incarnation of the agent that answered
   * @param revoked the agent's word that the attempt did not start and never will
   * @param now the time
   */
  public void revokeAnswered(String attemptId, long incarnation, boolean revoked, Instant now) {
    boolean believed = revoked && isFrom(attemptId, incarnation) && now.isBefore(deadline);
    if (believed) {
      settle(attemptId, State.NOT_RUN, ResultCode.REVOKED);
    }
  }

  /**
   * Notes the end that the agent gave for an attempt.
   *
   * @param attemptId the attempt
   * @param incarnation of the agent that ended it
   * @param code the result; {@code OK} only when the whole answer is here
   */
  public void ended(String attemptId, long incarnation, ResultCode code) {
    if (!isFrom(attemptId, incarnation)) {
      return;
    }
    switch (code.outcome()) {
      case DONE -> settle(attemptId, State.DONE, code);
      case NOT_RUN -> settle(attemptId, State.NOT_RUN, code);
      default -> settle(attemptId, State.UNKNOWN, code);
    }
  }

  /**
   * Notes that nothing more will be heard of an attempt.
   *
   * @param attemptId the attempt
   * @param code why, a code that says "outcome unknown"
   */
  public void lost(String attemptId, ResultCode code) {
    settle(attemptId, State.UNKNOWN, code);
  }

  /** Notes that a part of an answer has gone to the caller. */
  public void delivered() {
    delivered = true;
  }

  /**
   * Says whether another attempt may be made.
   *
   * @param now the time
   * @return false while an attempt is open, after the deadline, after an answer, and when a second
   *     run could do harm
   */
  public boolean mayDispatch(Instant now) {
    if (!now.isBefore(deadline) || any(State.OPEN) || any(State.DONE)) {
      return false;
    }
    if (delivered && !acceptsRestart) {
      return false;
    }
    return switch (repeatability) {
      case MAY_BE_REPEATED, ONCE_BY_CLAIM -> true;
      case ONCE -> !any(State.UNKNOWN);
    };
  }

  /**
   * Returns what the caller is told when no further attempt is made.
   *
   * @param whenNeverDispatched the code for a request without attempts, one that says "not run"
   * @return the code: of the answer, or of the first attempt that may have run, or else of the last
   *     refusal; empty while an attempt is open
   */
  public Optional<ResultCode> finalCode(ResultCode whenNeverDispatched) {
    if (any(State.DONE)) {
      return first(State.DONE);
    }
    if (any(State.OPEN)) {
      return Optional.empty();
    }
    if (any(State.UNKNOWN)) {
      return first(State.UNKNOWN);
    }
    return Optional.of(
        attempts.values().stream()
            .map(Attempt::code)
            .reduce((earlier, later) -> later)
            .orElse(whenNeverDispatched));
  }

  /**
   * Gives the request up at once, with attempts open: what they do from now on is not known.
   *
   * @param whenNotRun the code if every attempt is proved not to have run
   * @param whenUnknown the code if one may have run
   * @return the final code
   */
  public ResultCode giveUp(ResultCode whenNotRun, ResultCode whenUnknown) {
    attempts.replaceAll(
        (id, attempt) ->
            attempt.state() == State.OPEN
                ? new Attempt(attempt.incarnation(), State.UNKNOWN, whenUnknown)
                : attempt);
    return finalCode(whenNotRun).orElse(whenUnknown);
  }

  private boolean isFrom(String attemptId, long incarnation) {
    Attempt attempt = attempts.get(attemptId);
    return attempt != null && attempt.incarnation() == incarnation;
  }

  /** Proof replaces what is open or unknown; nothing replaces proof. */
  private void settle(String attemptId, State state, ResultCode code) {
    attempts.computeIfPresent(
        attemptId,
        (id, attempt) ->
            attempt.state() == State.OPEN
                    || (attempt.state() == State.UNKNOWN && state != State.UNKNOWN)
                ? new Attempt(attempt.incarnation(), state, code)
                : attempt);
  }

  private boolean any(State state) {
    return attempts.values().stream().anyMatch(attempt -> attempt.state() == state);
  }

  private Optional<ResultCode> first(State state) {
    return attempts.values().stream()
        .filter(attempt -> attempt.state() == state)
        .map(Attempt::code)
        .findFirst();
  }
}
