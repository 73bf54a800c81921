package dev.ibishub.agent;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.core.ClaimKey;
import dev.ibishub.core.ClaimLedger;
import dev.ibishub.core.ClaimRecord;
import dev.ibishub.core.ClaimRequest;
import dev.ibishub.core.ClaimResult;
import dev.ibishub.core.ProcessIncarnation;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.outbound.AppendOnlyLog;
import dev.ibishub.outbound.LogPage;
import dev.ibishub.outbound.LogRecord;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The claims of one log stream: the stream's reader, its ledger and the claims that are pending.
 * Thread-safe: all state is guarded by the bucket's lock, and while that is held no future is
 * completed and the log is not called.
 */
final class ClaimBucket {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int PAGE_RECORDS = 500;
  private static final long UNKNOWN = -1;

  private final String stream;
  private final AppendOnlyLog log;
  private final ProcessIncarnation self;
  private final ClaimWriterOptions options;
  private final InstantSource clock;
  private final Timer timer;
  private final ClaimLedger ledger;
  private final WaitingClaims waiting = new WaitingClaims();
  private long nextOffset;
  private long streamEndAtStart = UNKNOWN;
  private boolean appending;
  private Instant nextAppendAt = Instant.MIN;
  private boolean closed;

  ClaimBucket(
      String stream,
      AppendOnlyLog log,
      ProcessIncarnation self,
      ClaimWriterOptions options,
      InstantSource clock,
      Timer timer) {
    this.stream = stream;
    this.log = log;
    this.self = self;
    this.options = options;
    this.clock = clock;
    this.timer = timer;
    this.ledger = ClaimLedger.create(self, options.ledger());
  }

  CompletableFuture<ClaimResult> claim(ClaimRequest request) {
    Instant now = clock.instant();
    WaitingClaim claim = new WaitingClaim(request, new CompletableFuture<>());
    synchronized (this) {
      if (!isReady()) {
        return CompletableFuture.failedFuture(
            refusal(ResultCode.NOT_READY, "the claims on the log are not read yet", now));
      }
      try {
        Optional<ClaimResult> known = ledger.tryClaim(request, now);
        if (known.isPresent()) {
          return CompletableFuture.completedFuture(known.get());
        }
      } catch (ResultException e) {
        return CompletableFuture.failedFuture(e);
      }
      waiting.add(claim);
    }
    timer.at(
        earlier(request.deadline(), now.plus(options.confirmationTimeout())), () -> timeOut(claim));
    append();
    return claim.result();
  }

  synchronized void notStarted(ClaimKey key, String attemptId) {
    ledger.notStarted(key, attemptId);
  }

  synchronized void finished(ClaimKey key, String attemptId) {
    ledger.finished(key, attemptId);
  }

  synchronized boolean isReady() {
    return streamEndAtStart != UNKNOWN && nextOffset >= streamEndAtStart;
  }

  synchronized void close() {
    closed = true;
  }

  /** Reads from where the last read ended, and schedules the next read until the bucket closes. */
  void read() {
    long from;
    Instant waitUntil = clock.instant();
    synchronized (this) {
      if (closed) {
        return;
      }
      from = nextOffset;
      // The first read must not wait: it reports the stream's end, also when there is no record.
      waitUntil = streamEndAtStart == UNKNOWN ? waitUntil : waitUntil.plus(options.longPoll());
    }
    var unused =
        log.read(stream, from, PAGE_RECORDS, waitUntil)
            .whenComplete((page, failure) -> onRead(page, failure));
  }

  private void onRead(LogPage page, Throwable failure) {
    Instant now = clock.instant();
    if (failure != null) {
      logger.atWarning().log("event=claims_read_failed stream=%s error=%s", stream, failure);
      timer.at(now.plus(options.readBackoff()), this::read);
      return;
    }
    List<Runnable> completions = new ArrayList<>();
    synchronized (this) {
      streamEndAtStart = streamEndAtStart == UNKNOWN ? page.nextOffset() : streamEndAtStart;
      for (LogRecord record : page.records()) {
        apply(record.offset(), ClaimCodec.decode(record.payload()), now, completions);
      }
      nextOffset = Math.max(nextOffset, page.firstKept());
    }
    completions.forEach(Runnable::run);
    timer.at(now, this::read);
  }

  /**
   * Sends the unsent claims as one append, unless one is in flight. Claims that arrive meanwhile go
   * into the next append.
   */
  private void append() {
    Instant now = clock.instant();
    synchronized (this) {
      if (appending || closed || waiting.isAllSent()) {
        return;
      }
      appending = true;
      if (now.isBefore(nextAppendAt)) {
        timer.at(nextAppendAt, this::appendBatch);
        return;
      }
    }
    appendBatch();
  }

  private void appendBatch() {
    List<ClaimRecord> batch;
    synchronized (this) {
      batch = waiting.takeUnsent(self, options.maximumBatch());
      nextAppendAt = clock.instant().plus(options.appendInterval());
      if (batch.isEmpty()) {
        appending = false;
        return;
      }
    }
    var unused =
        log.append(stream, ClaimCodec.encode(self, batch))
            .whenComplete((offset, failure) -> onAppended(batch, offset, failure));
  }

  private void onAppended(List<ClaimRecord> batch, Long offset, Throwable failure) {
    Instant now = clock.instant();
    List<Runnable> completions = new ArrayList<>();
    synchronized (this) {
      appending = false;
      if (failure == null && offset == nextOffset) {
        // All earlier records have been read, so the claims can be decided without reading back.
        apply(offset, batch, now, completions);
      } else if (failure != null && isCertainlyNotAppended(failure)) {
        ResultException refusal =
            refusal(ResultCode.LOG_UNAVAILABLE, "the log takes no claims", now);
        batch.forEach(
            claim ->
                waiting
                    .remove(claim.claimKey())
                    .forEach(pending -> refuse(pending, refusal, completions)));
      }
      // If the answer was lost, reading on shows whether the record was appended.
    }
    completions.forEach(Runnable::run);
    append();
  }

  /** Applies a record once: both the append's own answer and the reader may deliver it. */
  private void apply(
      long offset, List<ClaimRecord> claims, Instant now, List<Runnable> completions) {
    if (offset < nextOffset) {
      return;
    }
    nextOffset = offset + 1;
    for (ClaimRecord claim : claims) {
      ledger.apply(claim, now);
      waiting.remove(claim.claimKey()).forEach(pending -> decide(pending, now, completions));
    }
  }

  private void decide(WaitingClaim claim, Instant now, List<Runnable> completions) {
    try {
      Optional<ClaimResult> result = ledger.tryClaim(claim.request(), now);
      if (result.isPresent()) {
        completions.add(() -> claim.result().complete(result.get()));
      } else {
        refuse(
            claim, refusal(ResultCode.LOG_UNAVAILABLE, "the claim was not kept", now), completions);
      }
    } catch (ResultException e) {
      refuse(claim, e, completions);
    }
  }

  /**
   * Refuses a claim that the log has not confirmed in time. The call was not started, and a record
   * read later does not start it, because the claim is no longer pending.
   */
  private void timeOut(WaitingClaim claim) {
    Instant now = clock.instant();
    synchronized (this) {
      if (!waiting.remove(claim)) {
        return;
      }
    }
    claim
        .result()
        .completeExceptionally(
            refusal(ResultCode.LOG_UNAVAILABLE, "the log did not confirm the claim in time", now));
  }

  private static void refuse(WaitingClaim claim, ResultException why, List<Runnable> completions) {
    completions.add(() -> claim.result().completeExceptionally(why));
  }

  private ResultException refusal(ResultCode code, String detail, Instant now) {
    return new ResultException(code, detail, now.plus(options.confirmationTimeout()));
  }

  private static boolean isCertainlyNotAppended(Throwable failure) {
    Throwable cause = failure.getCause() == null ? failure : failure.getCause();
    return cause instanceof ResultException known && known.code() == ResultCode.LOG_UNAVAILABLE;
  }

  private static Instant earlier(Instant first, Instant second) {
    return first.isBefore(second) ? first : second;
  }
}
