package dev.ibishub.agent;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.AttemptTable;
import dev.ibishub.core.AttemptTableOptions;
import dev.ibishub.core.ConcurrencyLimit;
import dev.ibishub.core.ConcurrencyLimitOptions;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.StreamBuffers;
import dev.ibishub.wire.generated.Attach;
import dev.ibishub.wire.generated.Cancel;
import dev.ibishub.wire.generated.Credit;
import dev.ibishub.wire.generated.Revoke;
import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class AttemptRunnerTest {
  private static final Instant START = Instant.parse("2026-03-01T22:00:00Z");
  private static final Instant DEADLINE = START.plusSeconds(60);
  private static final Duration ORPHAN_PATIENCE = Duration.ofSeconds(15);

  private Instant now = START;
  private final FakeBackend backend = new FakeBackend();
  private final FakeEntry entry = new FakeEntry("entry-1");
  private final AttemptRunner runner =
      new AttemptRunner(
          new AttemptRunner.RunnerOptions(2, ORPHAN_PATIENCE, Duration.ofSeconds(60)),
          StreamBuffers.create(1 << 20, 16),
          AttemptTable.create(AttemptTableOptions.defaults()),
          ConcurrencyLimit.create(new ConcurrencyLimitOptions(1, 1, 1, 0.025, 2, 0)),
          backend,
          () -> now,
          new AgentMetrics());

  @Test
  void answerIsRelayedWithItsTotals() {
    dispatch("a");
    backend.finish("a", "one ", "two");

    assertThat(entry.chunks())
        .extracting(chunk -> chunk.getData().toStringUtf8())
        .containsExactly("one ", "two");
    assertThat(entry.ends())
        .singleElement()
        .satisfies(
            end -> {
              assertThat(end.getResultCode()).isEqualTo(ResultCode.OK.number());
              assertThat(end.getChunkCount()).isEqualTo(2);
            });
  }

  @Test
  void readerGetsNoMoreThanItsCredit() {
    runner.dispatch(entry.link, FakeEntry.dispatch("a", DEADLINE, 1));
    backend.finish("a", "one", "two", "three", "four");
    assertThat(entry.chunks()).hasSize(1);

    runner.credit(Credit.newBuilder().setAttemptId("a").setChunks(2).build());

    assertThat(entry.chunks()).hasSize(3);
    assertThat(entry.ends()).isEmpty();
  }

  /**
   * A caller is told "not run" and an example sentence appears all the same. The dispatch was held
   * up in the network; its revocation overtook it, was answered, and then the dispatch arrived.
   */
  @Test
  void dispatchThatComesAfterItsRevocationNeverRuns() {
    runner.revoke(entry.link, Revoke.newBuilder().setAttemptId("late").build());
    dispatch("late");

    assertThat(entry.revokeReplies())
        .singleElement()
        .satisfies(reply -> assertThat(reply.getRevoked()).isTrue());
    assertThat(backend.running).isEmpty();
    assertThat(entry.ends())
        .extracting(end -> end.getResultCode())
        .containsExactly(ResultCode.REVOKED.number());
  }

  @Test
  void startedAttemptIsNotRevoked() {
    dispatch("a");

    runner.revoke(entry.link, Revoke.newBuilder().setAttemptId("a").build());

    assertThat(entry.revokeReplies())
        .singleElement()
        .satisfies(reply -> assertThat(reply.getRevoked()).isFalse());
  }

  /**
   * A nightly upgrade loses requests. The agent is told to stop while some wait in its queue; they
   * must come back as not run, so that entries send them elsewhere, and what runs must end whole.
   */
  @Test
  void leavingTargetHandsBackWhatWaitsAndFinishesWhatRuns() {
    dispatch("running");
    dispatch("waiting");

    runner.beginLeaving();
    dispatch("new");

    assertThat(entry.ends())
        .extracting(end -> end.getAttemptId() + " " + end.getResultCode())
        .containsExactly(
            "waiting " + ResultCode.TARGET_LEAVING.number(),
            "new " + ResultCode.TARGET_LEAVING.number());
    assertThat(runner.isIdle()).isFalse();
    backend.finish("running", "all of it");
    assertThat(runner.isIdle()).isTrue();
  }

  /**
   * A planned stop cuts off an answer whose caller is on its way to another entry: the entry that
   * read it was killed, and the agent took "no reader" for "all was read".
   */
  @Test
  void answerWithoutReaderKeepsTheAgentUntilItsCallerHadTimeToReturn() {
    dispatch("a");
    runner.linkClosed(entry.link);
    backend.finish("a", "one");

    assertThat(runner.isIdle()).isFalse();
    now = now.plus(ORPHAN_PATIENCE).plusSeconds(1);
    assertThat(runner.isIdle()).isTrue();
  }

  @Test
  void callerJoinsItsAnswerThroughAnotherEntry() {
    dispatch("a");
    runner.linkClosed(entry.link);
    FakeEntry other = new FakeEntry("entry-2");
    runner.attach(other.link, attach("publisher"));
    backend.finish("a", "one", "two");

    assertThat(other.chunks()).hasSize(2);
    assertThat(other.ends()).hasSize(1);
  }

  @Test
  void answerIsNotJoinedByAnotherWorkspace() {
    dispatch("a");
    FakeEntry other = new FakeEntry("entry-2");

    runner.attach(other.link, attach("school-portal"));

    assertThat(other.ends())
        .extracting(end -> end.getResultCode())
        .containsExactly(ResultCode.STREAM_POSITION_LOST.number());
  }

  /**
   * A resumed answer stops in the middle. The entry whose caller went away cancels the attempt ten
   * seconds later, when that caller has long been reading on through another entry.
   */
  @Test
  void cancelOfAnEntryThatNoLongerReadsIsIgnored() {
    dispatch("a");
    runner.attach(new FakeEntry("entry-2").link, attach("publisher"));

    runner.cancel(entry.link, Cancel.newBuilder().setAttemptId("a").build());

    assertThat(backend.cancelled).isZero();
  }

  @Test
  void callerCancelsItsOwnAnswerThroughAnyEntry() {
    dispatch("a");

    runner.cancel(
        new FakeEntry("entry-2").link,
        Cancel.newBuilder().setAttemptId("a").setCallerWorkspace("publisher").build());

    assertThat(backend.cancelled).isEqualTo(1);
  }

  @Test
  void orphanedAttemptIsCancelledAfterItsPatience() {
    dispatch("a");
    runner.linkClosed(entry.link);

    runner.tick();
    assertThat(backend.cancelled).isZero();
    now = now.plus(ORPHAN_PATIENCE).plusSeconds(1);
    runner.tick();

    assertThat(backend.cancelled).isEqualTo(1);
  }

  /** A caller waits on although its deadline has passed: the engine hangs and never ends it. */
  @Test
  void answerPastItsDeadlineEndsAtOnce() {
    dispatch("a");
    now = DEADLINE.plusMillis(1);

    runner.tick();

    assertThat(entry.ends())
        .extracting(end -> end.getResultCode())
        .containsExactly(ResultCode.DEADLINE_PASSED_RUNNING.number());
  }

  @Test
  void waitingAttemptPastItsDeadlineIsHandedBackAsNotRun() {
    dispatch("running");
    dispatch("waiting");
    now = DEADLINE.plusMillis(1);

    runner.tick();

    assertThat(entry.ends())
        .extracting(end -> end.getAttemptId() + " " + end.getResultCode())
        .contains("waiting " + ResultCode.DEADLINE_PASSED_QUEUED.number());
  }

  @Test
  void fullQueueRefusesAsNotRun() {
    dispatch("running");
    dispatch("waiting-1");
    dispatch("waiting-2");

    dispatch("too-many");

    assertThat(entry.ends())
        .extracting(end -> end.getAttemptId() + " " + end.getResultCode())
        .containsExactly("too-many " + ResultCode.OVERLOADED.number());
  }

  private void dispatch(String attemptId) {
    runner.dispatch(entry.link, FakeEntry.dispatch(attemptId, DEADLINE, 64));
  }

  private static Attach attach(String workspace) {
    return Attach.newBuilder().setAttemptId("a").setWorkspace(workspace).setCredit(64).build();
  }
}
