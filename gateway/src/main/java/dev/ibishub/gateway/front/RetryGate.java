package dev.ibishub.gateway.front;

import dev.ibishub.core.serving.AttemptOutcome;
import dev.ibishub.core.serving.DeliveredResponse;
import dev.ibishub.core.serving.RetryRule;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.LongPredicate;

/**
 * Decides whether one request is sent once more: as a retry, hedged, or to resume its stream. Keeps
 * what that depends on, namely how often it was sent and what its caller has received. Not
 * thread-safe.
 */
final class RetryGate {
  private final RetryRule rule;
  private final BooleanSupplier mayRepeat;
  private final LongPredicate takeRetry;
  private DeliveredResponse delivered;
  private int runs;
  private int sends;

  /**
   * Creates the gate of a request that was not sent yet.
   *
   * @param mayRepeat whether the request is free of suspicion that it crashes targets
   * @param takeRetry takes a retry from the budget at a time, if there is one left
   * @param resumedAfter id of the last event that the caller has of an earlier response
   */
  RetryGate(
      RetryRule rule,
      BooleanSupplier mayRepeat,
      LongPredicate takeRetry,
      OptionalLong resumedAfter) {
    this.rule = rule;
    this.mayRepeat = mayRepeat;
    this.takeRetry = takeRetry;
    this.delivered = DeliveredResponse.nothing(resumedAfter);
  }

  /** Returns what the caller has received so far. */
  DeliveredResponse delivered() {
    return delivered;
  }

  /** Returns how often the request was sent, also to targets that ran nothing. */
  int sends() {
    return sends;
  }

  /** Returns on how many targets the request may have run and failed. */
  int runs() {
    return runs;
  }

  void onSent() {
    sends++;
  }

  void onFailed(AttemptOutcome outcome) {
    runs += outcome.mayHaveRun() ? 1 : 0;
  }

  void onEventDelivered(EventSplitter.Event event) {
    delivered = event.isComment() ? delivered.withComment() : delivered.withEvent(event.id());
  }

  void onPartDelivered() {
    delivered = delivered.withPart();
  }

  /** Whether another target's response may complete what the caller has received. */
  boolean mayBeContinued() {
    return delivered.mayBeContinued(rule.kind());
  }

  /**
   * Whether the request may be sent once more; if so, takes a retry from the budget.
   *
   * @param openRuns attempts that may run still
   * @param now current time of the monotonic clock, milliseconds
   */
  boolean tryTakeRetry(int openRuns, long now) {
    return rule.allowsAnother(delivered, runs + openRuns, sends)
        && mayRepeat.getAsBoolean()
        && takeRetry.test(now);
  }

  /** Returns the delay before the next send after a failure, milliseconds; 0 for none. */
  long retryDelayMillis(AttemptOutcome outcome, long leftMillis) {
    return rule.retryDelayMillis(outcome, sends, leftMillis);
  }
}
