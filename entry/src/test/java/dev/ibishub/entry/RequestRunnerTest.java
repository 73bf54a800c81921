package dev.ibishub.entry;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.AnswerEnd;
import dev.ibishub.core.MemberRecord;
import dev.ibishub.core.MemberRole;
import dev.ibishub.core.MemberState;
import dev.ibishub.core.Membership;
import dev.ibishub.core.MembershipOptions;
import dev.ibishub.core.ProcessIncarnation;
import dev.ibishub.core.Repeatability;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.RetryBudget;
import dev.ibishub.core.Router;
import dev.ibishub.core.RouterOptions;
import dev.ibishub.wire.AnswerEnds;
import dev.ibishub.wire.ClaimHolderHeader;
import dev.ibishub.wire.generated.Dispatch;
import dev.ibishub.wire.generated.End;
import dev.ibishub.wire.generated.Frame;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class RequestRunnerTest {
  private static final Instant START = Instant.parse("2026-03-01T22:00:00Z");
  private static final Instant DEADLINE = START.plusSeconds(60);

  private static final int TARGETS = 12;

  /** Most targets that may end under one request. */
  private static final int MAXIMUM_CRASHES = 5;

  private Instant now = START;
  private final List<ScheduledTask> scheduledTasks = new ArrayList<>();
  private final List<ResultCode> finished = new ArrayList<>();
  private final RecordingAnswerWriter answer = new RecordingAnswerWriter();
  private final Router router = Router.create(RouterOptions.defaults());
  private final TargetLinks links =
      new TargetLinks(
          null, Membership.create(self(), MembershipOptions.defaults()), router, () -> now);
  private final RequestContext context =
      new RequestContext(
          "vake",
          links,
          links::linkTo,
          router,
          RetryBudget.create(1, 10),
          () -> now,
          (when, task) -> scheduledTasks.add(new ScheduledTask(when, task)),
          Runnable::run,
          new SplittableRandom(7));

  @Test
  void chunksThatArriveOutOfOrderAreDeliveredInOrder() {
    FakeAgent agent = agent("model-1", 1);
    start(Repeatability.MAY_BE_REPEATED, false);

    agent.chunk(agent.latestAttemptId(), 1, "two");
    agent.chunk(agent.latestAttemptId(), 0, "one ");
    agent.finish(agent.latestAttemptId(), 2, "one two");

    assertThat(answer.events).containsExactly("0:one ", "1:two", "end 2");
    assertThat(finished).containsExactly(ResultCode.OK);
  }

  // Guards against a caller of a plain service who gets a status that is none: the end of an answer
  // may come from an agent that states none.
  @ParameterizedTest
  @ValueSource(ints = {0, 99, 100, 199, 600, -1})
  void answerOfServiceWithoutStatusIsNotPassedOn(int status) {
    answer.isOfService = true;
    FakeAgent first = agent("model-1", 1);
    start(Repeatability.MAY_BE_REPEATED, false);
    FakeAgent second = agent("model-2", 1);
    first.finish(first.latestAttemptId(), 0, "", status);
    second.finish(second.latestAttemptId(), 0, "", 404);

    assertThat(answer.events).containsExactly("end 0");
    assertThat(finished).containsExactly(ResultCode.OK);
  }

  // Guards against a call that may not be repeated, and is, after an answer without a status.
  @Test
  void callThatMayNotBeRepeatedIsNotAfterAnswerWithoutStatus() {
    answer.isOfService = true;
    FakeAgent first = agent("model-1", 1);
    start(Repeatability.ONCE, false);
    FakeAgent second = agent("model-2", 1);
    first.finish(first.latestAttemptId(), 0, "", 0);

    assertThat(second.dispatches()).isEmpty();
    assertThat(answer.failedWith).isEqualTo(ResultCode.ANSWER_CORRUPTED);
  }

  /**
   * Guards against a lost request when its target dies before the first token: the request moves to
   * another target, and a late chunk of the lost attempt is dropped.
   */
  @Test
  void requestWhoseTargetDiesBeforeFirstChunkMovesToAnotherTarget() {
    FakeAgent first = agent("model-1", 1);
    start(Repeatability.MAY_BE_REPEATED, false);
    FakeAgent second = agent("model-2", 1);
    String lost = first.latestAttemptId();

    first.disconnect();
    second.chunk(lost, 0, "stale");
    second.chunk(second.latestAttemptId(), 0, "fresh");
    second.finish(second.latestAttemptId(), 1, "fresh");

    assertThat(answer.events).containsExactly("0:fresh", "end 1");
  }

  /**
   * Guards against splicing two answers: the target is replaced halfway through a streamed answer,
   * and another target would generate different text.
   */
  @Test
  void partialAnswerIsNeverContinuedByAnotherTarget() {
    FakeAgent first = agent("model-1", 1);
    start(Repeatability.MAY_BE_REPEATED, false);
    first.chunk(first.latestAttemptId(), 0, "half");
    FakeAgent second = agent("model-2", 1);

    first.disconnect();
    agent("model-1", 2);
    advanceMillis(5_000);

    assertThat(second.dispatches()).isEmpty();
    assertThat(answer.events).containsExactly("0:half", "failed TARGET_LOST");
  }

  // Guards against splicing two answers where the target itself says that its run failed, or that
  // it didn't run, after a part of its answer was delivered.
  @ParameterizedTest
  @EnumSource(
      value = ResultCode.class,
      names = {"ENGINE_FAILED", "TARGET_LEAVING"})
  void partialAnswerThatFailedIsNotSentToAnotherTarget(ResultCode code) {
    FakeAgent first = agent("model-1", 1);
    start(Repeatability.MAY_BE_REPEATED, false);
    first.chunk(first.latestAttemptId(), 0, "half");
    FakeAgent second = agent("model-2", 1);

    first.refuse(first.latestAttemptId(), code);

    assertThat(second.dispatches()).isEmpty();
    assertThat(answer.events).containsExactly("0:half", "failed " + code);
  }

  @Test
  void answerWhoseLinkBrokeResumesFromSameAgentIncarnation() {
    FakeAgent agent = agent("model-1", 1);
    start(Repeatability.MAY_BE_REPEATED, false);
    String attempt = agent.latestAttemptId();
    agent.chunk(attempt, 0, "half ");

    agent.disconnect();
    FakeAgent again = agent("model-1", 1);
    advanceMillis(200);
    assertThat(again.sent())
        .filteredOn(Frame::hasAttach)
        .extracting(frame -> frame.getAttach().getFromChunk())
        .containsExactly(1L);
    again.chunk(attempt, 1, "whole");
    again.finish(attempt, 2, "half whole");

    assertThat(answer.events).containsExactly("0:half ", "1:whole", "end 2");
  }

  @Test
  void callerThatAcceptsRestartGetsCompleteAnswerOfAnotherTarget() {
    FakeAgent first = agent("model-1", 1);
    start(Repeatability.MAY_BE_REPEATED, true);
    first.chunk(first.latestAttemptId(), 0, "half");
    FakeAgent second = agent("model-2", 1);

    first.disconnect();
    second.chunk(second.latestAttemptId(), 0, "all");
    second.finish(second.latestAttemptId(), 1, "all");

    assertThat(answer.events).containsExactly("0:half", "restart", "0:all", "end 1");
  }

  // Guards against a request that ends each target which runs it and is sent to one after the
  // other.
  @Test
  void requestThatEndsItsTargetsReachesFewOfThem() {
    List<FakeAgent> agents =
        IntStream.range(0, TARGETS).mapToObj(number -> agent("model-" + number, 1)).toList();

    IntStream.range(0, TARGETS)
        .forEach(
            any -> {
              start(Repeatability.MAY_BE_REPEATED, false);
              agents.stream()
                  .filter(agent -> agent.link.isOpen() && !agent.dispatches().isEmpty())
                  .forEach(FakeAgent::disconnect);
            });

    assertThat(agents.stream().filter(agent -> !agent.dispatches().isEmpty()))
        .hasSizeLessThanOrEqualTo(MAXIMUM_CRASHES);
  }

  @Test
  void requestRefusedByLeavingTargetMovesToAnotherTarget() {
    FakeAgent first = agent("model-1", 1);
    start(Repeatability.ONCE, false);
    FakeAgent second = agent("model-2", 1);

    first.refuse(first.latestAttemptId(), ResultCode.TARGET_LEAVING);

    assertThat(second.dispatches()).hasSize(1);
  }

  /**
   * Guards against running a call twice that may not be repeated: its target dies after the
   * dispatch was sent and may have run it, so no second attempt is made and the caller is told.
   */
  @Test
  void unrepeatableRequestWithoutClaimIsNotRetriedAfterTargetLoss() {
    FakeAgent first = agent("model-1", 1);
    start(Repeatability.ONCE, false);
    FakeAgent second = agent("model-2", 1);

    first.disconnect();

    assertThat(second.dispatches()).isEmpty();
    assertThat(answer.failedWith).isEqualTo(ResultCode.TARGET_LOST);
  }

  /**
   * Guards against a false "outcome unknown": the caller repeats a call with its idempotency key,
   * and the repeat reaches another agent than the one that holds the claim and the answer.
   */
  @Test
  void claimedCallIsRedirectedToAgentThatHoldsTheClaim() {
    FakeAgent first = agent("model-1", 1);
    start(Repeatability.ONCE_BY_CLAIM, true);
    FakeAgent holder = agent("model-2", 9);

    first.end(heldBy(first.latestAttemptId(), new ProcessIncarnation("model-2", 9)));
    holder.finish(holder.latestAttemptId(), 0, "");

    assertThat(answer.events).containsExactly("end 0");
  }

  @Test
  void callWhoseClaimHolderWasReplacedFailsWithOutcomeUnknown() {
    FakeAgent first = agent("model-1", 1);
    start(Repeatability.ONCE_BY_CLAIM, true);
    FakeAgent replaced = agent("model-2", 10);

    first.end(heldBy(first.latestAttemptId(), new ProcessIncarnation("model-2", 9)));

    assertThat(replaced.dispatches()).isEmpty();
    assertThat(answer.failedWith).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
  }

  @Test
  void requestPastItsDeadlineFailsAtOnce() {
    agent("model-1", 1);
    start(Repeatability.MAY_BE_REPEATED, false);

    advanceMillis(61_000);

    assertThat(answer.failedWith).isEqualTo(ResultCode.DEADLINE_PASSED_RUNNING);
  }

  @Test
  void requestWithoutTargetFailsWithNoTarget() {
    start(Repeatability.MAY_BE_REPEATED, false);

    assertThat(answer.failedWith).isEqualTo(ResultCode.NO_TARGET);
  }

  @Test
  void answerWithWrongChecksumFailsAsCorrupted() {
    FakeAgent agent = agent("model-1", 1);
    start(Repeatability.MAY_BE_REPEATED, false);
    agent.chunk(agent.latestAttemptId(), 0, "one");

    agent.finish(agent.latestAttemptId(), 1, "other");

    assertThat(answer.events).containsExactly("0:one", "failed ANSWER_CORRUPTED");
  }

  private FakeAgent agent(String target, long incarnation) {
    return new FakeAgent(links, target, incarnation).connect();
  }

  private void start(Repeatability repeatability, boolean acceptsRestart) {
    CallerRequest request =
        new CallerRequest(
            "request",
            "publisher",
            "dictionary",
            0,
            10,
            DEADLINE,
            repeatability,
            acceptsRestart,
            Dispatch.getDefaultInstance());
    new RequestRunner(context, request, answer, (code, tokens) -> finished.add(code)).start();
  }

  private record ScheduledTask(Instant when, Runnable task) {}

  /** Advances the clock and runs the tasks that are due. */
  private void advanceMillis(long millis) {
    now = now.plusMillis(millis);
    List<ScheduledTask> due =
        scheduledTasks.stream().filter(scheduled -> !scheduled.when().isAfter(now)).toList();
    scheduledTasks.removeAll(due);
    due.forEach(scheduled -> scheduled.task().run());
  }

  private static End heldBy(String attemptId, ProcessIncarnation holder) {
    AnswerEnd end = ClaimHolderHeader.alreadyRunning(holder);
    return AnswerEnds.toWire(attemptId, end);
  }

  private static MemberRecord self() {
    return new MemberRecord(
        "entry-1", MemberRole.ENTRY, "vake", "127.0.0.1", 1, "", 1, 0, MemberState.ALIVE, 0);
  }
}
