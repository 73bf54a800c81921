package dev.ibishub.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

final class RetryRuleTest {
  private static final DeliveredResponse NOTHING = DeliveredResponse.nothing(OptionalLong.empty());

  // Guards against a call that runs twice, such as one that credits a panelist's points. The target
  // ran the call but its answer was lost; the entry took the closed connection for "not run" and
  // sent the call to another target.
  @ParameterizedTest
  @EnumSource(
      value = AttemptOutcome.class,
      names = {"FAILED", "BROKEN"})
  void callThatMayRunOnceIsNotSentAgainIfItMayHaveRun(AttemptOutcome outcome) {
    int runs = runs(outcome);
    assertThat(new RetryRule(RequestKind.ONCE, 3).allowsAnother(NOTHING, runs, 1)).isFalse();
    assertThat(new RetryRule(RequestKind.STREAM, 3).allowsAnother(NOTHING, runs, 1)).isFalse();
  }

  @ParameterizedTest
  @EnumSource(
      value = AttemptOutcome.class,
      names = {"UNREACHABLE", "REFUSED"})
  void callThatDidNotRunIsSentToAnotherTarget(AttemptOutcome outcome) {
    assertThat(new RetryRule(RequestKind.ONCE, 1).allowsAnother(NOTHING, runs(outcome), 1))
        .isTrue();
  }

  private static int runs(AttemptOutcome outcome) {
    return outcome.mayHaveRun() ? 1 : 0;
  }

  // Guards against a response that is joined from two runs: an idempotent request was sent again
  // after a part of its response had reached the caller.
  @Test
  void requestIsNotSentAgainAfterPartOfItsResponse() {
    RetryRule rule = new RetryRule(RequestKind.IDEMPOTENT, 2);

    assertThat(rule.allowsAnother(NOTHING, 1, 1)).isTrue();
    assertThat(rule.allowsAnother(NOTHING.withPart(), 1, 1)).isFalse();
  }

  // Guards against requests that are refused just before the group that could serve them opens.
  // All its ranks refuse until then, and a request without a delay between its attempts was tried
  // at four of them within a few milliseconds.
  @Test
  void refusedRequestWithTimeLeftIsRetriedAfterDelay() {
    RetryRule rule = new RetryRule(RequestKind.RESUMABLE_STREAM, 2);

    assertThat(rule.retryDelayMillis(AttemptOutcome.REFUSED, 1, 8_000)).isZero();
    assertThat(rule.retryDelayMillis(AttemptOutcome.REFUSED, 2, 8_000)).isEqualTo(250);
    assertThat(rule.retryDelayMillis(AttemptOutcome.REFUSED, 3, 7_000)).isEqualTo(500);
    assertThat(rule.retryDelayMillis(AttemptOutcome.REFUSED, 2, 1_400)).isZero();
    assertThat(rule.retryDelayMillis(AttemptOutcome.BROKEN, 2, 8_000)).isZero();
  }

  @Test
  void requestRunsOnNoMoreTargetsThanItsRouteAllows() {
    RetryRule rule = new RetryRule(RequestKind.IDEMPOTENT, 2);

    assertThat(rule.allowsAnother(NOTHING, 1, 1)).isTrue();
    assertThat(rule.allowsAnother(NOTHING, 2, 2)).isFalse();
  }

  @Test
  void refusedRequestIsNotSentAgainAfterExtraSends() {
    RetryRule rule = new RetryRule(RequestKind.ONCE, 1);

    assertThat(rule.allowsAnother(NOTHING, 0, 2)).isTrue();
    assertThat(rule.allowsAnother(NOTHING, 0, 1 + RetryRule.EXTRA_SENDS)).isFalse();
  }
}
