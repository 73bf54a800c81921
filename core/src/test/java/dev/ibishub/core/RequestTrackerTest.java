package dev.ibishub.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;

class RequestTrackerTest {
  private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
  private static final Instant DEADLINE = NOW.plusSeconds(10);

  private final RequestTracker tracker = RequestTracker.of(Repeatability.ONCE, DEADLINE);

  @Test
  void requestNeverDispatchedDidNotRun() {
    assertThat(tracker.mayDispatch(NOW)).isTrue();
    assertThat(tracker.finalCode(ResultCode.NO_TARGET)).contains(ResultCode.NO_TARGET);
  }

  @Test
  void lostConnectionNeverSaysNotRun() {
    // An incentive is posted twice: the connection broke after the dispatch, the caller was told
    // "not run" and sent it again, while the agent had the whole dispatch and ran it.
    tracker.dispatched("a", 1);
    tracker.lost("a", ResultCode.TARGET_LOST);

    assertThat(tracker.mayDispatch(NOW)).isFalse();
    assertThat(tracker.finalCode(ResultCode.NO_TARGET)).contains(ResultCode.TARGET_LOST);
  }

  @Test
  void bytesThatNeverLeftAllowAnotherAttempt() {
    tracker.dispatched("a", 1);
    tracker.neverSent("a", ResultCode.TARGET_UNREACHABLE);

    assertThat(tracker.mayDispatch(NOW)).isTrue();
    assertThat(tracker.finalCode(ResultCode.NO_TARGET)).contains(ResultCode.TARGET_UNREACHABLE);
  }

  @Test
  void revocationProvesNotRunAlsoAfterTheConnectionWasLost() {
    tracker.dispatched("a", 1);
    tracker.lost("a", ResultCode.TARGET_LOST);
    tracker.revokeAnswered("a", 1, true, NOW);

    assertThat(tracker.mayDispatch(NOW)).isTrue();
    assertThat(tracker.finalCode(ResultCode.NO_TARGET)).contains(ResultCode.REVOKED);
  }

  @Test
  void agentThatRestartedCannotSayThatAnAttemptDidNotRun() {
    // A caller is told "not run" of a call that ran: its agent started it, died, came back without
    // memory, and then revoked an attempt that it had never heard of.
    tracker.dispatched("a", 1);
    tracker.lost("a", ResultCode.TARGET_LOST);
    tracker.revokeAnswered("a", 2, true, NOW);
    tracker.ended("a", 2, ResultCode.TARGET_LEAVING);

    assertThat(tracker.finalCode(ResultCode.NO_TARGET)).contains(ResultCode.TARGET_LOST);
  }

  @Test
  void revocationAfterTheDeadlineIsNotBelieved() {
    // As above, but the agent lives and has forgotten the finished attempt, as it may after the
    // deadline.
    tracker.dispatched("a", 1);
    tracker.lost("a", ResultCode.TARGET_LOST);
    tracker.revokeAnswered("a", 1, true, DEADLINE);

    assertThat(tracker.finalCode(ResultCode.NO_TARGET)).contains(ResultCode.TARGET_LOST);
  }

  @Test
  void refusedRevocationLeavesTheAttemptOpen() {
    tracker.dispatched("a", 1);
    tracker.revokeAnswered("a", 1, false, NOW);

    assertThat(tracker.finalCode(ResultCode.NO_TARGET)).isEmpty();
    assertThat(tracker.mayDispatch(NOW)).isFalse();
  }

  @Test
  void agentsRefusalAllowsAnotherAttempt() {
    tracker.dispatched("a", 1);
    tracker.ended("a", 1, ResultCode.TARGET_LEAVING);

    assertThat(tracker.mayDispatch(NOW)).isTrue();
    assertThat(tracker.finalCode(ResultCode.NO_TARGET)).contains(ResultCode.TARGET_LEAVING);
  }

  @Test
  void oneUnknownAttemptOutweighsLaterRefusals() {
    RequestTracker claimed = RequestTracker.of(Repeatability.ONCE_BY_CLAIM, DEADLINE);
    claimed.dispatched("a", 1);
    claimed.lost("a", ResultCode.TARGET_LOST);
    assertThat(claimed.mayDispatch(NOW)).isTrue();
    claimed.dispatched("b", 7);
    claimed.ended("b", 7, ResultCode.LOG_UNAVAILABLE);

    assertThat(claimed.finalCode(ResultCode.NO_TARGET)).contains(ResultCode.TARGET_LOST);
  }

  @Test
  void repeatableRequestIsTriedAgainUntilAPartWasDelivered() {
    // Two generations spliced into one answer: the first target died after some tokens, and the
    // second one's tokens were appended to them.
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
  void answeredRequestGetsNoFurtherAttempt() {
    RequestTracker generation = RequestTracker.of(Repeatability.MAY_BE_REPEATED, DEADLINE);
    generation.dispatched("a", 1);
    generation.ended("a", 1, ResultCode.OK);
    generation.lost("a", ResultCode.TARGET_LOST);

    assertThat(generation.mayDispatch(NOW)).isFalse();
    assertThat(generation.finalCode(ResultCode.NO_TARGET)).contains(ResultCode.OK);
  }

  @Test
  void givingUpAnswersAtOnceAndHonestly() {
    tracker.dispatched("a", 1);

    assertThat(tracker.giveUp(ResultCode.NO_TARGET, ResultCode.DEADLINE_PASSED_RUNNING))
        .isEqualTo(ResultCode.DEADLINE_PASSED_RUNNING);
    assertThat(tracker.mayDispatch(NOW)).isFalse();
  }

  @Test
  void nothingIsDispatchedAfterTheDeadline() {
    assertThat(tracker.mayDispatch(DEADLINE)).isFalse();
  }
}
