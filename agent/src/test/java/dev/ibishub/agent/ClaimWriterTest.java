package dev.ibishub.agent;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.ClaimRecord;
import dev.ibishub.core.ClaimRequest;
import dev.ibishub.core.ClaimResult;
import dev.ibishub.core.IdempotencyKey;
import dev.ibishub.core.ProcessIncarnation;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class ClaimWriterTest {
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final ProcessIncarnation SELF = new ProcessIncarnation("agent-1", 1);
  private static final ProcessIncarnation OTHER = new ProcessIncarnation("agent-2", 1);
  private static final ClaimResult WON = new ClaimResult.Won();

  private final ManualTimer timer = new ManualTimer(START);
  private final FakeLog log = new FakeLog(timer);

  @Test
  void winsClaimOnceItIsOnTheLog() {
    ClaimWriter writer = startedWriter();
    CompletableFuture<ClaimResult> claim = writer.claim(request("k", "a"));
    assertThat(claim).isNotDone();

    settle();

    assertThat(claim).isCompletedWithValue(WON);
    assertThat(log.appends).isEqualTo(1);
  }

  @Test
  void batchesClaimsThatArriveDuringAnAppend() {
    ClaimWriter writer = startedWriter();
    for (int i = 0; i < 100; i++) {
      assertThat(writer.claim(request("k" + i, "a" + i))).isNotDone();
    }

    settle();
    timer.advanceTo(START.plusMillis(20));
    settle();

    assertThat(log.appends).isEqualTo(2);
    assertThat(ClaimCodec.decode(log.records.get(1))).hasSize(99);
  }

  @Test
  void keepsOneAppendInFlightWithoutAnInterval() {
    // Guards against a burst of calls that uses up the log's append rate, so that no configuration
    // can be published.
    ClaimWriterOptions defaults = ClaimWriterOptions.defaults();
    ClaimWriterOptions noInterval =
        new ClaimWriterOptions(
            1,
            defaults.ledger(),
            defaults.maximumBatch(),
            Duration.ZERO,
            defaults.confirmationTimeout(),
            defaults.longPoll(),
            defaults.readBackoff());
    ClaimWriter writer = startedWriter(noInterval);
    for (int i = 0; i < 100; i++) {
      assertThat(writer.claim(request("k" + i, "a" + i))).isNotDone();
    }

    settle();

    assertThat(log.appends).isEqualTo(2);
  }

  @Test
  void runsOnceAndJoinsSecondCallWithSameKey() {
    ClaimWriter writer = startedWriter();
    CompletableFuture<ClaimResult> first = writer.claim(request("k", "a"));
    CompletableFuture<ClaimResult> second = writer.claim(request("k", "b"));

    settle();

    assertThat(first).isCompletedWithValue(WON);
    assertThat(second).isCompletedWithValue(new ClaimResult.RunningHere("a"));
    writer.finished(request("k", "a").claimKey(), "a");
    assertThat(writer.claim(request("k", "c")))
        .isCompletedWithValue(new ClaimResult.FinishedHere("a"));
  }

  @Test
  void losesToEarlierClaimOnTheLog() {
    // Guards against running a call twice: two agents claim its key at the same time, and one
    // counts a successful append as a win without reading the records before it.
    ClaimWriter writer = startedWriter();
    CompletableFuture<ClaimResult> claim = writer.claim(request("k", "a"));
    log.add(recordOf(OTHER, "k"));

    settle();

    assertThat(claim).isCompletedWithValue(new ClaimResult.HeldBy(OTHER));
  }

  @Test
  void decidesByReadingWhenAppendAnswerIsLost() {
    // Guards against running a call twice or never: the log appends the claim but its answer is
    // lost.
    ClaimWriter writer = startedWriter();
    log.loseAnswers = true;
    CompletableFuture<ClaimResult> claim = writer.claim(request("k", "a"));

    settle();

    assertThat(claim).isCompletedWithValue(WON);
    assertThat(log.appends).isEqualTo(1);
  }

  @Test
  void refusesAsNotRunWithRetryTimeWhenLogIsDown() {
    ClaimWriter writer = startedWriter();
    log.down = true;
    CompletableFuture<ClaimResult> claim = writer.claim(request("k", "a"));

    settle();

    assertFailed(claim, ResultCode.LOG_UNAVAILABLE);
    assertThat(failureOf(claim).retryAt()).contains(START.plusSeconds(2));
  }

  @Test
  void runsCallOnceOnRetryWhenRefusedClaimAppearsLate() {
    // The caller was told "not run" during an outage, but the claim had reached the log. Reading it
    // back must not start the call, and the caller's retry must run it once.
    ClaimWriter writer = startedWriter();
    CompletableFuture<ClaimResult> claim = writer.claim(request("k", "a"));
    timer.advanceTo(START.plusSeconds(2));
    assertThat(timer.runNext()).isTrue();
    assertFailed(claim, ResultCode.LOG_UNAVAILABLE);

    settle();

    assertThat(writer.claim(request("k", "b"))).isCompletedWithValue(WON);
    assertThat(writer.claim(request("k", "c")))
        .isCompletedWithValue(new ClaimResult.RunningHere("b"));
  }

  @Test
  void allowsNewClaimAfterWinnerWasNotStarted() {
    ClaimWriter writer = startedWriter();
    CompletableFuture<ClaimResult> claim = writer.claim(request("k", "a"));
    settle();
    assertThat(claim).isCompletedWithValue(WON);

    writer.notStarted(request("k", "a").claimKey(), "a");

    assertThat(writer.claim(request("k", "b"))).isCompletedWithValue(WON);
  }

  @Test
  void refusesClaimsUntilRestartedAgentHasReadTheStream() {
    // Guards against running a call twice: the agent was restarted and has not yet read what its
    // earlier run claimed.
    ProcessIncarnation before = new ProcessIncarnation("agent-1", 0);
    log.add(recordOf(before, "k"));
    ClaimWriter writer = ClaimWriter.start(log, SELF, ClaimWriterOptions.defaults(), timer, timer);
    assertThat(writer.isReady()).isFalse();
    assertFailed(writer.claim(request("k", "a")), ResultCode.NOT_READY);

    settle();

    assertThat(writer.claim(request("k", "a")))
        .isCompletedWithValue(new ClaimResult.HeldBy(before));
  }

  @Test
  void resumesReadingAfterAnOutage() {
    ClaimWriter writer = startedWriter();
    log.down = true;
    log.add(recordOf(OTHER, "k"));
    settle();
    log.down = false;
    timer.advanceTo(START.plusMillis(200));
    settle();

    assertThat(writer.claim(request("k", "a"))).isCompletedWithValue(new ClaimResult.HeldBy(OTHER));
  }

  @Test
  void skipsInvalidRecord() {
    log.add("no claim".getBytes(StandardCharsets.UTF_8));
    ClaimWriter writer = startedWriter();

    CompletableFuture<ClaimResult> claim = writer.claim(request("k", "a"));
    settle();

    assertThat(claim).isCompletedWithValue(WON);
  }

  private ClaimWriter startedWriter() {
    return startedWriter(ClaimWriterOptions.defaults());
  }

  private ClaimWriter startedWriter(ClaimWriterOptions options) {
    ClaimWriter writer = ClaimWriter.start(log, SELF, options, timer, timer);
    settle();
    assertThat(writer.isReady()).isTrue();
    return writer;
  }

  /** Answers the log's calls and runs due tasks until none are left at the current time. */
  private void settle() {
    do {
      while (!log.calls.isEmpty()) {
        log.calls.poll().run();
      }
    } while (timer.runNext());
  }

  private static IdempotencyKey key(String name) {
    return IdempotencyKey.parse(START + "/" + name);
  }

  private static ClaimRequest request(String name, String attemptId) {
    return new ClaimRequest("w", key(name), 1, attemptId, START.plusSeconds(30));
  }

  private static byte[] recordOf(ProcessIncarnation owner, String name) {
    return ClaimCodec.encode(owner, List.of(new ClaimRecord(owner, "w", key(name), 1)));
  }

  private static ResultException failureOf(CompletableFuture<ClaimResult> claim) {
    return claim.handle((result, failure) -> (ResultException) failure).join();
  }

  private static void assertFailed(CompletableFuture<ClaimResult> claim, ResultCode code) {
    assertThat(claim).isCompletedExceptionally();
    assertThat(failureOf(claim).code()).isEqualTo(code);
  }
}
