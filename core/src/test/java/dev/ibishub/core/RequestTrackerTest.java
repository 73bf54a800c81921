package dev.ibishub.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;

class RequestTrackerTest {
  private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
  private static final Instant DEADLINE = NOW.plusSeconds(10);

  private final RequestTracker tracker = RequestTracker.of(Repeatability.ONCE, DEADLINE);

  @Test
  void reportsNotRunIfNeverDispatched() {
    assertThat(tracker.mayDispatch(NOW)).isTrue();
    assertThat(tracker.finalCode(ResultCode.NO_TARGET)).contains(ResultCode.NO_TARGET);
  }

  @Test
  void reportsUnknownOutcomeAfterLostConnection() {
    // Guards against a second run of a request: the connection breaks after the dispatch, and the
    // caller is told "not run" and sends the request again, while the agent has the whole dispatch
    // and runs it.
    tracker.dispatched("a", 1);
    tracker.lost("a", ResultCode.TARGET_LOST);

    assertThat(tracker.mayDispatch(NOW)).isFalse();
    assertThat(tracker.finalCode(ResultCode.NO_TARGET)).contains(ResultCode.TARGET_LOST);
  }

  @Test
  void allowsAnotherAttemptIfNothingWasSent() {
    tracker.dispatched("a", 1);
    tracker.recordNotSent("a", ResultCode.TARGET_UNREACHABLE);

    assertThat(tracker.mayDispatch(NOW)).isTrue();
    assertThat(tracker.finalCode(ResultCode.NO_TARGET)).contains(ResultCode.TARGET_UNREACHABLE);
  }

  @Test
  void acceptsRevocationAfterLostConnection() {
    tracker.dispatched("a", 1);
    tracker.lost("a", ResultCode.TARGET_LOST);
    tracker.revokeAnswered("a", 1, true, NOW);

    assertThat(tracker.mayDispatch(NOW)).isTrue();
    assertThat(tracker.finalCode(ResultCode.NO_TARGET)).contains(ResultCode.REVOKED);
  }

  @Test
  void ignoresRestartedAgentThatReportsNotRun() {
    // Guards against "not run" for a call that ran: its agent starts it, dies, restarts without
    // memory, and then revokes an attempt that it does not know.
    tracker.dispatched("a", 1);
    tracker.lost("a", ResultCode.TARGET_LOST);
    tracker.revokeAnswered("a", 2, true, NOW);
    tracker.ended("a", 2, ResultCode.TARGET_LEAVING);

    assertThat(tracker.finalCode(ResultCode.NO_TARGET)).contains(ResultCode.TARGET_LOST);
  }

  @Test
  void ignoresRevocationAfterDeadline() {
    // As above, but the agent did not restart; it has removed the finished attempt, as it may after
    // the deadline.
    tracker.dispatched("a", 1);
    tracker.lost("a", ResultCode.TARGET_LOST);
    tracker.revokeAnswered("a", 1, true, DEADLINE);

    assertThat(tracker.finalCode(ResultCode.NO_TARGET)).contains(ResultCode.TARGET_LOST);
  }

  @Test
  void keepsAttemptOpenAfterRefusedRevocation() {
    tracker.dispatched("a", 1);
    tracker.revokeAnswered("a", 1, false, NOW);

    assertThat(tracker.finalCode(ResultCode.NO_TARGET)).isEmpty();
    assertThat(tracker.mayDispatch(NOW)).isFalse();
  }

  @Test
  void allowsAnotherAttemptAfterRefusalByAgent() {
    tracker.dispatched("a", 1);
    tracker.ended("a", 1, ResultCode.TARGET_LEAVING);

    assertThat(tracker.mayDispatch(NOW)).isTrue();
    assertThat(tracker.finalCode(ResultCode.NO_TARGET)).contains(ResultCode.TARGET_LEAVING);
  }

  @Test
  void reportsUnknownOutcomeDespiteLaterRefusal() {
    RequestTracker claimed = RequestTracker.of(Repeatability.ONCE_BY_CLAIM, DEADLINE);
    claimed.dispatched("a", 1);
    claimed.lost("a", ResultCode.TARGET_LOST);
    assertThat(claimed.mayDispatch(NOW)).isTrue();
    claimed.dispatched("b", 7);
    claimed.ended("b", 7, ResultCode.LOG_UNAVAILABLE);

    assertThat(claimed.finalCode(ResultCode.NO_TARGET)).contains(ResultCode.TARGET_LOST);
  }

  @Test
  void retriesRepeatableRequestUntilPartWasDelivered() {
    // Guards against mixing two generations in one answer: the first target dies after some tokens,
    // and the tokens of the second target are appended to them.
    RequestTracker generation = RequestTracker.of(Repeatability.MAY_BE_REPEATED, DEADLINE);
    generation.dispatched("a", 1);
    generation.lost("a", ResultCode.TARGET_LOST);
    assertThat(generation.mayDispatch(NOW)).isTrue();

    generation.delivered();
    assertThat(generation.mayDispatch(NOW)).isFalse();

    generation.acceptRestart();
    assertThat(generation.mayDispatch(NOW)).isTrue();
  }

  @Test
  void allowsNoAttemptAfterAnswer() {
    RequestTracker generation = RequestTracker.of(Repeatability.MAY_BE_REPEATED, DEADLINE);
    generation.dispatched("a", 1);
    generation.ended("a", 1, ResultCode.OK);
    generation.lost("a", ResultCode.TARGET_LOST);

    assertThat(generation.mayDispatch(NOW)).isFalse();
    assertThat(generation.finalCode(ResultCode.NO_TARGET)).contains(ResultCode.OK);
  }

  @Test
  void reportsUnknownOutcomeOnGivingUpOpenAttempt() {
    tracker.dispatched("a", 1);

    assertThat(tracker.giveUp(ResultCode.NO_TARGET, ResultCode.DEADLINE_PASSED_RUNNING))
        .isEqualTo(ResultCode.DEADLINE_PASSED_RUNNING);
    assertThat(tracker.mayDispatch(NOW)).isFalse();
  }

  @Test
  void allowsNoAttemptAfterDeadline() {
    assertThat(tracker.mayDispatch(DEADLINE)).isFalse();
  }
}
