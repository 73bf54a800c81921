package dev.ibishub.agent;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.core.AnswerEnd;
import dev.ibishub.core.AttemptTable;
import dev.ibishub.core.ConcurrencyLimit;
import dev.ibishub.core.FairQueue;
import dev.ibishub.core.OfferResult;
import dev.ibishub.core.QueuedWork;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.core.StreamBuffers;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.wire.AnswerEnds;
import dev.ibishub.wire.Link;
import dev.ibishub.wire.generated.Attach;
import dev.ibishub.wire.generated.Cancel;
import dev.ibishub.wire.generated.Credit;
import dev.ibishub.wire.generated.Dispatch;
import dev.ibishub.wire.generated.Frame;
import dev.ibishub.wire.generated.Revoke;
import dev.ibishub.wire.generated.RevokeReply;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The queue and scheduler of one target: every attempt waits here until it starts or is returned to
 * its entry as not run. Thread-safe; no method blocks.
 */
final class AttemptRunner {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final AttemptTable table;
  private final StreamBuffers buffers;
  private final FairQueue<Attempt> queue = FairQueue.create();
  private final ConcurrencyLimit limit;
  private final Backend backend;
  private final InstantSource clock;
  private final AgentMetrics metrics;
  private final RunnerOptions options;
  private final Map<String, Attempt> attempts = new ConcurrentHashMap<>();
  private final Set<String> blockedModels = ConcurrentHashMap.newKeySet();
  private volatile boolean leaving;

  /**
   * Limits of a runner.
   *
   * @param maximumQueued the maximum number of queued attempts
   * @param orphanTimeout how long a started attempt whose entry is gone keeps running, so that its
   *     caller can resume through another entry
   * @param answerRetention how long after its deadline the answer of a finished attempt can be
   *     joined
   */
  record RunnerOptions(int maximumQueued, Duration orphanTimeout, Duration answerRetention) {}

  AttemptRunner(
      RunnerOptions options,
      StreamBuffers buffers,
      AttemptTable table,
      ConcurrencyLimit limit,
      Backend backend,
      InstantSource clock,
      AgentMetrics metrics) {
    this.options = options;
    this.buffers = buffers;
    this.table = table;
    this.limit = limit;
    this.backend = backend;
    this.clock = clock;
    this.metrics = metrics;
  }

  /** Queues an attempt, or refuses it as not run. */
  void dispatch(Link link, Dispatch dispatch) {
    Instant now = clock.instant();
    String id = dispatch.getAttemptId();
    Instant deadline = Instant.ofEpochMilli(dispatch.getDeadlineMillis());
    if (leaving) {
      refuse(link, dispatch, now, ResultCode.TARGET_LEAVING, "the target takes no new work");
      return;
    }
    if (blockedModels.contains(dispatch.getModelCall().getModel())) {
      refuse(link, dispatch, now, ResultCode.TARGET_LEAVING, "the model is being unloaded here");
      return;
    }
    if (queue.size() >= options.maximumQueued()) {
      refuse(link, dispatch, now, ResultCode.OVERLOADED, "the target's queue is full");
      return;
    }
    switch (table.offer(id, deadline, now)) {
      case QUEUED -> enqueue(link, dispatch, deadline, now);
      case REVOKED -> answer(link, id, ResultCode.REVOKED, "the attempt was withdrawn before");
      case DUPLICATE -> logger.atFine().log("%s", LogEvent.of("attempt.duplicate").with("id", id));
      default -> throw new AssertionError();
    }
  }

  /** Revokes an attempt unless it has started, and replies whether it was revoked. */
  void revoke(Link link, Revoke revoke) {
    boolean revoked = revokeQueued(revoke.getAttemptId());
    link.offer(
        Frame.newBuilder()
            .setRevokeReply(
                RevokeReply.newBuilder().setAttemptId(revoke.getAttemptId()).setRevoked(revoked))
            .build());
  }

  /**
   * Stops an attempt whose answer is no longer wanted. An entry sends the cancel some time after
   * its caller disconnected, when that caller may already have resumed through another entry. Only
   * the entry that currently reads the answer, or the caller's own workspace, may therefore cancel
   * it.
   */
  void cancel(Link link, Cancel cancel) {
    Optional.ofNullable(attempts.get(cancel.getAttemptId()))
        .filter(attempt -> mayCancel(link, cancel, attempt))
        .filter(attempt -> !revokeQueued(attempt.id()))
        .ifPresent(this::cancelStarted);
  }

  private static boolean mayCancel(Link link, Cancel cancel, Attempt attempt) {
    return cancel.getCallerWorkspace().isEmpty()
        ? attempt.mayBeCancelledBy(link)
        : cancel.getCallerWorkspace().equals(attempt.dispatch().getWorkspace());
  }

  /** Sends an answer to another entry, starting from the requested chunk. */
  void attach(Link link, Attach attach) {
    Attempt attempt = attempts.get(attach.getAttemptId());
    boolean known =
        attempt != null && attempt.dispatch().getWorkspace().equals(attach.getWorkspace());
    if (!known) {
      answer(
          link,
          attach.getAttemptId(),
          ResultCode.STREAM_POSITION_LOST,
          "the answer is not kept here");
      return;
    }
    attempt.relayTo(
        new AnswerRelay(link, attempt.buffer(), attach.getFromChunk(), attach.getCredit()));
  }

  void credit(Credit credit) {
    Optional.ofNullable(attempts.get(credit.getAttemptId()))
        .ifPresent(attempt -> attempt.credit(credit.getChunks()));
  }

  /**
   * Revokes the queued attempts of an entry that is gone. Started attempts keep running for the
   * orphan timeout, so that their callers can resume.
   */
  void linkClosed(Link link) {
    Instant now = clock.instant();
    attempts.values().stream()
        .filter(attempt -> attempt.detachReader(link, now))
        .forEach(attempt -> revokeQueued(attempt.id()));
  }

  /** Starts draining: refuses new attempts and returns queued ones as not run. */
  void beginLeaving() {
    leaving = true;
    returnQueued(ResultCode.TARGET_LEAVING, "the target is leaving");
  }

  /** Returns queued attempts as not run, so that entries send them elsewhere. */
  void returnQueued(ResultCode code, String detail) {
    attempts.values().stream()
        .filter(attempt -> !attempt.done().isDone())
        .map(Attempt::id)
        .filter(id -> table.revoke(id, clock.instant()))
        .forEach(id -> returnAsNotRun(id, code, detail));
  }

  /** Accepts attempts again after a drain was revoked. */
  void endLeaving() {
    leaving = false;
  }

  /** Refuses new attempts for a model until {@link #unblockModel}. */
  void blockModel(String model) {
    blockedModels.add(model);
  }

  void unblockModel(String model) {
    blockedModels.remove(model);
  }

  /** Returns whether an attempt for a model is queued or running. */
  boolean hasUnfinishedAttempt(String model) {
    return attempts.values().stream()
        .filter(attempt -> !attempt.done().isDone())
        .anyMatch(attempt -> attempt.dispatch().getModelCall().getModel().equals(model));
  }

  boolean isLeaving() {
    return leaving;
  }

  /**
   * Returns whether no attempt is queued or running, and no answer is still being sent or may be
   * resumed by a caller that lost its entry.
   */
  boolean isIdle() {
    Instant orphanedBefore = clock.instant().minus(options.orphanTimeout());
    return attempts.values().stream().allMatch(attempt -> attempt.isSettled(orphanedBefore));
  }

  int queued() {
    return queue.size();
  }

  double queuedTokens() {
    return queue.queuedTokens();
  }

  int running() {
    return limit.running();
  }

  int limit() {
    return limit.limit();
  }

  /**
   * Ends attempts that are past their deadline or orphaned for too long, and evicts finished ones.
   * Must be called periodically.
   */
  void tick() {
    Instant now = clock.instant();
    queue.removeExpired(now).forEach(work -> expire(work.item(), now));
    attempts.values().stream()
        .filter(attempt -> !attempt.done().isDone())
        .filter(attempt -> isOverdueOrOrphaned(attempt, now))
        .forEach(attempt -> giveUp(attempt, now));
    attempts
        .values()
        .removeIf(
            attempt ->
                attempt.done().isDone()
                    && attempt.deadline().plus(options.answerRetention()).isBefore(now));
    table.expire(now);
    startNext();
  }

  private void enqueue(Link link, Dispatch dispatch, Instant deadline, Instant now) {
    var buffer = buffers.open(dispatch.getAttemptId());
    AnswerRelay relay = new AnswerRelay(link, buffer, 0, dispatch.getCredit());
    Attempt attempt = new Attempt(dispatch, buffer, relay);
    attempts.put(attempt.id(), attempt);
    boolean queued =
        queue.offer(
            new QueuedWork<>(
                attempt.id(),
                dispatch.getWorkspace(),
                dispatch.getWeight(),
                dispatch.getPriority(),
                dispatch.getEstimatedTokens(),
                deadline,
                attempt));
    if (!queued) {
      table.revoke(attempt.id(), now);
      returnAsNotRun(attempt.id(), ResultCode.REVOKED, "the attempt waits already");
      return;
    }
    metrics.dispatched();
    startNext();
  }

  private void startNext() {
    while (queue.size() > 0 && acquireSlot()) {
      Instant now = clock.instant();
      Optional<QueuedWork<Attempt>> next = queue.poll(now);
      boolean started = next.isPresent() && table.tryStart(next.get().id(), now);
      if (!started) {
        limit.release(new ConcurrencyLimit.Sample(now, now, 0, false));
        next.ifPresent(work -> expire(work.item(), now));
        continue;
      }
      run(next.get(), now);
    }
  }

  private boolean acquireSlot() {
    return limit.tryAcquire() || (queue.isNextUrgent() && limit.tryAcquireReserved());
  }

  private void run(QueuedWork<Attempt> work, Instant startedAt) {
    Attempt attempt = work.item();
    attempt.sendStarted();
    backend
        .run(attempt)
        .exceptionally(AttemptRunner::failure)
        .thenAccept(end -> finish(work, startedAt, end));
  }

  private void finish(QueuedWork<Attempt> work, Instant startedAt, AnswerEnd end) {
    Instant now = clock.instant();
    Attempt attempt = work.item();
    AnswerEnd reported =
        attempt.isCancelled() && end.code() != ResultCode.OK
            ? AnswerEnd.failure(new ResultException(ResultCode.CANCELLED, "cancelled"))
            : end;
    attempt.end(reported);
    table.finished(attempt.id(), now);
    queue.completed(work.workspace(), work.estimatedTokens(), (double) end.usedTokens());
    boolean failed = end.code() != ResultCode.OK && !attempt.isCancelled();
    limit.release(new ConcurrencyLimit.Sample(startedAt, now, end.usedTokens(), failed));
    metrics.finished(reported.code(), startedAt, now);
    logger.atInfo().log(
        "%s",
        LogEvent.of("attempt.finished")
            .request(attempt.dispatch().getRequestId())
            .with("attempt", attempt.id())
            .with("workspace", work.workspace())
            .with("tokens", end.usedTokens())
            .code(reported.code()));
    startNext();
  }

  private boolean isOverdueOrOrphaned(Attempt attempt, Instant now) {
    boolean late = !now.isBefore(attempt.deadline());
    boolean orphaned =
        attempt
            .orphanedAt()
            .map(since -> since.plus(options.orphanTimeout()).isBefore(now))
            .orElse(false);
    return (late || orphaned) && !attempt.isCancelled();
  }

  private void giveUp(Attempt attempt, Instant now) {
    boolean late = !now.isBefore(attempt.deadline());
    if (revokeQueued(attempt.id())) {
      return;
    }
    cancelStarted(attempt);
    if (late) {
      // The reader gets the end at once; the engine's own end is ignored when it arrives.
      attempt.end(
          AnswerEnd.failure(
              new ResultException(ResultCode.DEADLINE_PASSED_RUNNING, "the deadline has passed")));
    }
  }

  private void expire(Attempt attempt, Instant now) {
    table.revoke(attempt.id(), now);
    returnAsNotRun(
        attempt.id(), ResultCode.DEADLINE_PASSED_QUEUED, "the deadline passed before the start");
  }

  private boolean revokeQueued(String attemptId) {
    boolean revoked = table.revoke(attemptId, clock.instant());
    if (revoked) {
      returnAsNotRun(attemptId, ResultCode.REVOKED, "withdrawn before the start");
    }
    return revoked;
  }

  /** Ends an attempt that the table has revoked, so that it can no longer start. */
  private void returnAsNotRun(String attemptId, ResultCode code, String detail) {
    queue.remove(attemptId);
    Optional.ofNullable(attempts.get(attemptId))
        .filter(attempt -> !attempt.done().isDone())
        .ifPresent(
            attempt -> {
              attempt.end(AnswerEnd.failure(new ResultException(code, detail)));
              metrics.notRun(code);
            });
  }

  private void cancelStarted(Attempt attempt) {
    attempt.cancel();
    if (!attempt.done().isDone()) {
      backend.cancel(attempt);
    }
  }

  /**
   * Refuses an attempt, and revokes it in the table so that a late duplicate is refused too. If the
   * table already knows the attempt, or its deadline has passed, no answer is sent: it may have
   * run, so "not run" could be wrong.
   */
  private void refuse(Link link, Dispatch dispatch, Instant now, ResultCode code, String detail) {
    String id = dispatch.getAttemptId();
    Instant deadline = Instant.ofEpochMilli(dispatch.getDeadlineMillis());
    if (table.offer(id, deadline, now) != OfferResult.QUEUED || !table.revoke(id, now)) {
      return;
    }
    metrics.notRun(code);
    answer(link, id, code, detail);
  }

  private void answer(Link link, String attemptId, ResultCode code, String detail) {
    AnswerEnd end = AnswerEnd.failure(new ResultException(code, detail));
    link.offer(Frame.newBuilder().setEnd(AnswerEnds.toWire(attemptId, end)).build());
  }

  private static AnswerEnd failure(Throwable thrown) {
    Throwable cause = thrown instanceof CompletionException ? thrown.getCause() : thrown;
    if (cause instanceof ResultException failure) {
      return AnswerEnd.failure(failure);
    }
    if (cause instanceof CancellationException) {
      return AnswerEnd.failure(new ResultException(ResultCode.CANCELLED, "cancelled"));
    }
    logger.atSevere().withCause(cause).log("%s", LogEvent.of("attempt.failed"));
    return AnswerEnd.failure(new ResultException(ResultCode.INTERNAL, "internal error"));
  }
}
