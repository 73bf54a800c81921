package dev.ibishub.core;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Tracks the attempts of one request at an entry, and decides from them what the caller may be told
 * and whether another attempt is allowed. Used behind ibishub's own interface; on the platform of
 * its users {@code RetryRule} decides on further attempts.
 *
 * <p>Once a dispatch has left the entry, the attempt may run at any later time, whatever happens to
 * the connection. There are only two proofs that it did not run: the agent's statement (a
 * revocation, or an end whose code says "not run"), or that none of its bytes were sent. In all
 * other cases the outcome is unknown.
 *
 * <p>The agent's statement counts only from the incarnation to which the dispatch was sent, since a
 * restarted agent does not know what ran before. A revocation counts only before the attempt's
 * deadline, since the agent removes attempts after it.
 *
 * <p>Not thread-safe: guarded by the owner of the request.
 *
 * <pre>{@code
 * RequestTracker tracker = RequestTracker.of(Repeatability.MAY_BE_REPEATED, deadline);
 * tracker.dispatched(attemptId, agentIncarnation);
 * tracker.lost(attemptId, ResultCode.TARGET_LOST);
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
   * State of one attempt.
   *
   * @param incarnation incarnation of the agent to which it was sent
   * @param state the state
   * @param code reason for the state, null while the attempt is open
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
   * Creates the tracker of a request without attempts.
   *
   * @param repeatability whether the request may run more than once
   * @param deadline deadline of the request and of each of its attempts
   * @return the tracker
   */
  public static RequestTracker of(Repeatability repeatability, Instant deadline) {
    return new RequestTracker(
        Objects.requireNonNull(repeatability), Objects.requireNonNull(deadline));
  }

  /**
   * Records that the caller accepts an answer that restarts after a part of another was delivered.
   */
  public void acceptRestart() {
    acceptsRestart = true;
  }

  /**
   * Records a dispatch. Must be called before its first byte is handed to the connection.
   *
   * @param attemptId new id, never used for another attempt
   * @param incarnation incarnation of the agent to which it is sent
   * @throws IllegalStateException if the id was dispatched before
   */
  public void dispatched(String attemptId, long incarnation) {
    Attempt attempt = new Attempt(incarnation, State.OPEN, null);
    if (attempts.putIfAbsent(attemptId, attempt) != null) {
      throw new IllegalStateException("attempt " + attemptId + " was dispatched before");
    }
  }

  /**
   * Records the proof that none of a dispatch's bytes left this process.
   *
   * @param attemptId id of the attempt
   * @param code reason, a code that says "not run"
   */
  public void recordNotSent(String attemptId, ResultCode code) {
    updateState(attemptId, State.NOT_RUN, code);
  }

  /**
   * Records the agent's answer to a revocation.
   *
   * @param attemptId id of the attempt
   * @param incarnation incarnation of the agent that answered
   * @param revoked whether the agent says that the attempt did not start and never will
   * @param now the current time
   */
  public void revokeAnswered(String attemptId, long incarnation, boolean revoked, Instant now) {
    boolean accepted = revoked && isFrom(attemptId, incarnation) && now.isBefore(deadline);
    if (accepted) {
      updateState(attemptId, State.NOT_RUN, ResultCode.REVOKED);
    }
  }

  /**
   * Records the end of an attempt as sent by its agent.
   *
   * @param attemptId id of the attempt
   * @param incarnation incarnation of the agent that sent the end
   * @param code the result; {@code OK} only if the whole answer has arrived
   */
  public void ended(String attemptId, long incarnation, ResultCode code) {
    if (!isFrom(attemptId, incarnation)) {
      return;
    }
    switch (code.outcome()) {
      case DONE -> updateState(attemptId, State.DONE, code);
      case NOT_RUN -> updateState(attemptId, State.NOT_RUN, code);
      default -> updateState(attemptId, State.UNKNOWN, code);
    }
  }

  /**
   * Records that no more messages about an attempt will arrive.
   *
   * @param attemptId id of the attempt
   * @param code reason, a code that says "outcome unknown"
   */
  public void lost(String attemptId, ResultCode code) {
    updateState(attemptId, State.UNKNOWN, code);
  }

  /** Records that a part of an answer was sent to the caller. */
  public void delivered() {
    delivered = true;
  }

  /**
   * Returns whether another attempt is allowed.
   *
   * @param now the current time
   * @return false while an attempt is open, after the deadline, after an answer, and if a second
   *     run could do harm
   */
  public boolean mayDispatch(Instant now) {
    if (!now.isBefore(deadline) || anyIn(State.OPEN) || anyIn(State.DONE)) {
      return false;
    }
    if (delivered && !acceptsRestart) {
      return false;
    }
    return switch (repeatability) {
      case MAY_BE_REPEATED, ONCE_BY_CLAIM -> true;
      case ONCE -> !anyIn(State.UNKNOWN);
    };
  }

  /**
   * Returns the code for the caller if no further attempt is made.
   *
   * @param whenNeverDispatched code for a request without attempts, one that says "not run"
   * @return the code of the answer, or of the first attempt that may have run, or else of the last
   *     refusal; empty while an attempt is open
   */
  public Optional<ResultCode> finalCode(ResultCode whenNeverDispatched) {
    if (anyIn(State.DONE)) {
      return firstCodeIn(State.DONE);
    }
    if (anyIn(State.OPEN)) {
      return Optional.empty();
    }
    if (anyIn(State.UNKNOWN)) {
      return firstCodeIn(State.UNKNOWN);
    }
    return Optional.of(
        attempts.values().stream()
            .map(Attempt::code)
            .reduce((earlier, later) -> later)
            .orElse(whenNeverDispatched));
  }

  /**
   * Ends the request at once. The outcome of attempts that are still open is unknown from now on.
   *
   * @param whenNotRun code to return if there was no attempt
   * @param whenUnknown code for open attempts
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

  /**
   * Changes an attempt's state: proof replaces an open or unknown state, and nothing replaces
   * proof.
   */
  private void updateState(String attemptId, State state, ResultCode code) {
    attempts.computeIfPresent(
        attemptId,
        (id, attempt) ->
            attempt.state() == State.OPEN
                    || (attempt.state() == State.UNKNOWN && state != State.UNKNOWN)
                ? new Attempt(attempt.incarnation(), state, code)
                : attempt);
  }

  private boolean anyIn(State state) {
    return attempts.values().stream().anyMatch(attempt -> attempt.state() == state);
  }

  private Optional<ResultCode> firstCodeIn(State state) {
    return attempts.values().stream()
        .filter(attempt -> attempt.state() == state)
        .map(Attempt::code)
        .findFirst();
  }
}
