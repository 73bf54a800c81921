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
  private static final Duration ORPHAN_TIMEOUT = Duration.ofSeconds(15);

  private Instant now = START;
  private final FakeBackend backend = new FakeBackend();
  private final FakeEntry entry = new FakeEntry("entry-1");
  private final AttemptRunner runner =
      new AttemptRunner(
          new AttemptRunner.RunnerOptions(2, ORPHAN_TIMEOUT, Duration.ofSeconds(60)),
          StreamBuffers.create(1 << 20, 16),
          AttemptTable.create(AttemptTableOptions.defaults()),
          ConcurrencyLimit.create(new ConcurrencyLimitOptions(1, 1, 1, 0.025, 2, 0)),
          backend,
          () -> now,
          new AgentMetrics());

  @Test
  void relaysAnswerWithItsChunkCount() {
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
  void sendsNoMoreChunksThanReaderGranted() {
    runner.dispatch(entry.link, FakeEntry.dispatch("a", DEADLINE, 1));
    backend.finish("a", "one", "two", "three", "four");
    assertThat(entry.chunks()).hasSize(1);

    runner.credit(Credit.newBuilder().setAttemptId("a").setChunks(2).build());

    assertThat(entry.chunks()).hasSize(3);
    assertThat(entry.ends()).isEmpty();
  }

  /**
   * Guards against running an attempt whose caller was told "not run". The dispatch is delayed in
   * the network and arrives after its revocation has been confirmed.
   */
  @Test
  void refusesDispatchThatArrivesAfterItsRevocation() {
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
  void doesNotRevokeStartedAttempt() {
    dispatch("a");

    runner.revoke(entry.link, Revoke.newBuilder().setAttemptId("a").build());

    assertThat(entry.revokeReplies())
        .singleElement()
        .satisfies(reply -> assertThat(reply.getRevoked()).isFalse());
  }

  /**
   * Guards against losing requests in an upgrade. When the agent is drained, queued attempts must
   * be returned as not run, so that entries send them elsewhere, and running ones must finish.
   */
  @Test
  void returnsQueuedAndFinishesRunningAttemptsWhenLeaving() {
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
   * Guards against a planned stop that cuts off an answer whose caller is about to resume through
   * another entry. The entry that read the answer was killed; an answer without a reader must not
   * count as fully read.
   */
  @Test
  void isNotIdleUntilOrphanTimeoutOfAnswerWithoutReader() {
    dispatch("a");
    runner.linkClosed(entry.link);
    backend.finish("a", "one");

    assertThat(runner.isIdle()).isFalse();
    now = now.plus(ORPHAN_TIMEOUT).plusSeconds(1);
    assertThat(runner.isIdle()).isTrue();
  }

  @Test
  void sendsAnswerToEntryThatAttachesAfterFirstLinkClosed() {
    dispatch("a");
    runner.linkClosed(entry.link);
    FakeEntry other = new FakeEntry("entry-2");
    runner.attach(other.link, attach("publisher"));
    backend.finish("a", "one", "two");

    assertThat(other.chunks()).hasSize(2);
    assertThat(other.ends()).hasSize(1);
  }

  @Test
  void refusesAttachOfAnotherWorkspace() {
    dispatch("a");
    FakeEntry other = new FakeEntry("entry-2");

    runner.attach(other.link, attach("school-portal"));

    assertThat(other.ends())
        .extracting(end -> end.getResultCode())
        .containsExactly(ResultCode.STREAM_POSITION_LOST.number());
  }

  /**
   * Guards against a resumed answer that stops in the middle. The first entry cancels the attempt
   * 10 seconds after its caller disconnected, but the caller has resumed through another entry.
   */
  @Test
  void ignoresCancelFromEntryThatNoLongerReads() {
    dispatch("a");
    runner.attach(new FakeEntry("entry-2").link, attach("publisher"));

    runner.cancel(entry.link, Cancel.newBuilder().setAttemptId("a").build());

    assertThat(backend.cancelled).isZero();
  }

  @Test
  void cancelsForOwnWorkspaceThroughAnyEntry() {
    dispatch("a");

    runner.cancel(
        new FakeEntry("entry-2").link,
        Cancel.newBuilder().setAttemptId("a").setCallerWorkspace("publisher").build());

    assertThat(backend.cancelled).isEqualTo(1);
  }

  @Test
  void cancelsOrphanedAttemptAfterOrphanTimeout() {
    dispatch("a");
    runner.linkClosed(entry.link);

    runner.tick();
    assertThat(backend.cancelled).isZero();
    now = now.plus(ORPHAN_TIMEOUT).plusSeconds(1);
    runner.tick();

    assertThat(backend.cancelled).isEqualTo(1);
  }

  /** Guards against a caller that waits past its deadline because the engine hangs. */
  @Test
  void endsRunningAttemptPastItsDeadline() {
    dispatch("a");
    now = DEADLINE.plusMillis(1);

    runner.tick();

    assertThat(entry.ends())
        .extracting(end -> end.getResultCode())
        .containsExactly(ResultCode.DEADLINE_PASSED_RUNNING.number());
  }

  @Test
  void returnsQueuedAttemptPastItsDeadlineAsNotRun() {
    dispatch("running");
    dispatch("waiting");
    now = DEADLINE.plusMillis(1);

    runner.tick();

    assertThat(entry.ends())
        .extracting(end -> end.getAttemptId() + " " + end.getResultCode())
        .contains("waiting " + ResultCode.DEADLINE_PASSED_QUEUED.number());
  }

  @Test
  void refusesAttemptAsNotRunWhenQueueIsFull() {
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
