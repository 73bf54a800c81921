package dev.ibishub.entry;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.core.AnswerAssembler;
import dev.ibishub.core.AnswerEnd;
import dev.ibishub.core.Outcome;
import dev.ibishub.core.ProcessIncarnation;
import dev.ibishub.core.RequestTracker;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.core.RouteQuery;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.runtime.SerialExecutor;
import dev.ibishub.wire.AnswerEnds;
import dev.ibishub.wire.ClaimHolderHeader;
import dev.ibishub.wire.Link;
import dev.ibishub.wire.generated.Attach;
import dev.ibishub.wire.generated.Cancel;
import dev.ibishub.wire.generated.Chunk;
import dev.ibishub.wire.generated.Credit;
import dev.ibishub.wire.generated.Frame;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Runs one request to its final result, behind ibishub's own interface: chooses targets, makes
 * attempts and assembles the answer. Thread-safe: I/O threads and timers enter under one lock, and
 * writes to the caller are queued in order and run outside of it.
 */
final class RequestRunner implements TargetLinks.AttemptListener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Flow-control window: chunks that an agent may send before the caller has taken them. */
  static final int CREDIT_WINDOW_CHUNKS = 64;

  private static final int REORDER_WINDOW_CHUNKS = 1 << 16;
  private static final int CREDIT_BATCH_CHUNKS = 16;
  private static final int MAXIMUM_ATTEMPTS = 8;
  private static final Duration REATTACH_TIMEOUT = Duration.ofSeconds(4);
  private static final Duration REATTACH_INTERVAL = Duration.ofMillis(100);
  private static final Duration RESUME_GRACE = Duration.ofSeconds(10);
  private static final Duration DEADLINE_MARGIN = Duration.ofMillis(200);

  private final RequestContext context;
  private final CallerRequest request;
  private final AnswerWriter answer;
  private final FinishListener finishListener;
  private final SerialExecutor writeQueue;
  private final RequestTracker tracker;
  private final Set<String> excludedTargets = new HashSet<>();
  private final Instant startedAt;
  private Optional<Instant> retryAt = Optional.empty();
  private int attemptCount;
  private String attemptId = "";
  private String target = "";
  private String streamName = "";
  private AnswerAssembler assembler;
  private AnswerEnd lastEnd;
  private long attemptIncarnation;
  private Instant attemptStartedAt;
  private Instant reattachUntil;
  private boolean delivered;
  private boolean isResumed;
  private boolean ended;

  /** Receives the final result code and the number of tokens used, once. */
  @FunctionalInterface
  interface FinishListener {
    void accept(ResultCode code, double usedTokens);
  }

  RequestRunner(
      RequestContext context,
      CallerRequest request,
      AnswerWriter answer,
      FinishListener finishListener) {
    this.finishListener = finishListener;
    this.context = context;
    this.request = request;
    this.answer = answer;
    this.writeQueue = new SerialExecutor(context.threads());
    this.tracker = RequestTracker.of(request.repeatability(), request.deadline());
    this.startedAt = context.clock().instant();
    if (request.acceptsRestart()) {
      tracker.acceptRestart();
    }
  }

  /** Starts the first attempt; the answer is written on other threads. */
  synchronized void start() {
    if (ended) {
      return;
    }
    context.timers().schedule(request.deadline().plus(DEADLINE_MARGIN), this::onDeadlinePassed);
    context.retries().onRequest();
    attempt();
  }

  /** Resumes an answer that an agent keeps, instead of starting a new attempt. */
  synchronized void resume(Link link, StreamName stream) {
    if (ended) {
      return;
    }
    isResumed = true;
    context.timers().schedule(request.deadline().plus(DEADLINE_MARGIN), this::onDeadlinePassed);
    openAttempt(link, stream.attemptId());
    if (!attach(link)) {
      closeAttempt(true);
      failResume();
    }
  }

  /** Fails a resumption whose agent cannot be reached. */
  synchronized void failResume() {
    if (ended) {
      return;
    }
    fail(ResultCode.STREAM_POSITION_LOST, "the agent that keeps the answer cannot be reached");
  }

  @Override
  public String target() {
    return target;
  }

  @Override
  public synchronized void onFrame(Link link, Frame frame) {
    if (ended) {
      return;
    }
    switch (frame.getBodyCase()) {
      case CHUNK -> onChunk(link, frame.getChunk());
      case END -> onEnd(link, AnswerEnds.fromWire(frame.getEnd()), frame.getEnd().getAttemptId());
      default -> {
        // Other frames, such as Started, need no action here.
      }
    }
  }

  @Override
  public synchronized void onLinkLost(Link link) {
    if (ended || link.peer().incarnation() != attemptIncarnation) {
      return;
    }
    if (delivered && !request.acceptsRestart()) {
      reattachUntil = context.clock().instant().plus(REATTACH_TIMEOUT);
      reattach();
      return;
    }
    onAttemptLost();
  }

  /**
   * Ends the request because its caller has disconnected. A caller that has received the name of
   * its stream may resume the answer at another entry, so that attempt is cancelled only after a
   * grace period; the agent ignores that cancel if another entry reads the answer by then.
   */
  synchronized void onCallerDisconnected() {
    if (ended) {
      return;
    }
    if (!attemptId.isEmpty()) {
      closeAttempt(false);
      abandonAttempt();
    }
    finish(ResultCode.CANCELLED, 0, () -> {});
  }

  private void abandonAttempt() {
    boolean mayResume = answer.isResumable() && (delivered || isResumed);
    if (!mayResume) {
      cancel(attemptId);
      return;
    }
    String abandonedAttempt = attemptId;
    context
        .timers()
        .schedule(context.clock().instant().plus(RESUME_GRACE), () -> cancel(abandonedAttempt));
  }

  private void attempt() {
    Instant now = context.clock().instant();
    while (tracker.mayDispatch(now) && attemptCount < MAXIMUM_ATTEMPTS) {
      Optional<String> chosen = choose(now);
      if (chosen.isEmpty()) {
        break;
      }
      Optional<Link> link = context.links().link(chosen.get());
      if (link.isPresent() && dispatch(link.get(), now)) {
        return;
      }
      excludedTargets.add(chosen.get());
    }
    failWithFinalCode("no target can take the request now");
  }

  private Optional<String> choose(Instant now) {
    RouteQuery query =
        new RouteQuery(
            request.servedName(),
            context.zone(),
            request.prefixHash(),
            request.estimatedTokens(),
            excludedTargets);
    return context.router().choose(query, now, context.random());
  }

  private boolean dispatch(Link link, Instant now) {
    attemptCount++;
    openAttempt(link, request.requestId() + "." + attemptCount);
    attemptStartedAt = now;
    context.router().sent(target, request.estimatedTokens(), now);
    boolean sent =
        link.offer(
            Frame.newBuilder()
                .setDispatch(
                    request.dispatch().toBuilder()
                        .setAttemptId(attemptId)
                        .setCredit(CREDIT_WINDOW_CHUNKS))
                .build());
    if (!sent) {
      tracker.recordNotSent(attemptId, ResultCode.TARGET_UNREACHABLE);
      closeAttempt(true);
    }
    return sent;
  }

  private void openAttempt(Link link, String id) {
    attemptId = id;
    target = link.peer().processId();
    attemptIncarnation = link.peer().incarnation();
    attemptStartedAt = context.clock().instant();
    assembler = AnswerAssembler.forAttempt(id, REORDER_WINDOW_CHUNKS);
    streamName = context.streamName(request, target, id);
    lastEnd = null;
    tracker.dispatched(id, attemptIncarnation);
    context.links().register(id, this);
  }

  private void onChunk(Link link, Chunk chunk) {
    long first = assembler.nextNumber();
    List<byte[]> released =
        assembler.accept(chunk.getAttemptId(), chunk.getNumber(), chunk.getData().toByteArray());
    for (int i = 0; i < released.size(); i++) {
      forwardChunk(link, streamName, first + i, released.get(i));
    }
    if (!released.isEmpty()) {
      tracker.delivered();
      delivered = true;
    }
    assembler.result().ifPresent(code -> completeAttempt(link, code));
  }

  private void onEnd(Link link, AnswerEnd end, String ofAttempt) {
    if (!ofAttempt.equals(attemptId)) {
      return;
    }
    lastEnd = end;
    assembler.end(ofAttempt, end).ifPresent(code -> completeAttempt(link, code));
  }

  private void completeAttempt(Link link, ResultCode assembled) {
    AnswerEnd last = lastEnd;
    boolean isDamaged = assembled == ResultCode.OK && !answer.isWholeWith(last);
    ResultCode code = isDamaged ? ResultCode.ANSWER_CORRUPTED : assembled;
    tracker.ended(attemptId, link.peer().incarnation(), code);
    boolean failed = code.outcome() == Outcome.OUTCOME_UNKNOWN && code != ResultCode.CANCELLED;
    closeAttempt(failed);
    if (code == ResultCode.OK) {
      succeed(last);
      return;
    }
    retryAt = last == null ? Optional.empty() : last.retryAt();
    if (last != null && ClaimHolderHeader.holderOf(last).isPresent()) {
      redirectToClaimHolder(ClaimHolderHeader.holderOf(last).get());
      return;
    }
    excludedTargets.add(target);
    retry(
        last == null || isDamaged ? "the answer came damaged" : last.detail(),
        isExemptFromRetryBudget(code));
  }

  /**
   * Sends the call to the agent that claimed its idempotency key. Only that agent has the answer or
   * is running the call; if it is gone, the outcome stays unknown.
   */
  private void redirectToClaimHolder(ProcessIncarnation holder) {
    if (!excludedTargets.add(holder.process())) {
      fail(ResultCode.OUTCOME_UNKNOWN, "the agent that claimed this key has lost it");
      return;
    }
    context
        .linkTo()
        .apply(holder.process())
        .whenComplete(
            (link, failure) -> onClaimHolderLinked(holder, failure == null ? link : null));
  }

  private synchronized void onClaimHolderLinked(ProcessIncarnation holder, Link link) {
    if (ended) {
      return;
    }
    if (link == null || link.peer().incarnation() != holder.incarnation()) {
      fail(ResultCode.OUTCOME_UNKNOWN, "the agent that claimed this key is gone");
      return;
    }
    if (!dispatch(link, context.clock().instant())) {
      failWithFinalCode("the agent that claimed this key cannot be reached");
    }
  }

  private void onAttemptLost() {
    tracker.lost(attemptId, ResultCode.TARGET_LOST);
    closeAttempt(true);
    excludedTargets.add(target);
    retry("the target was lost", false);
  }

  /**
   * Whether a retry after this code is exempt from the retry budget. The budget guards against
   * retry storms on an overloaded system; work that a draining target hands back, as in a nightly
   * upgrade, is no such storm.
   */
  private static boolean isExemptFromRetryBudget(ResultCode code) {
    return code == ResultCode.TARGET_LEAVING;
  }

  private void retry(String detail, boolean exemptFromRetryBudget) {
    Instant now = context.clock().instant();
    if (!tracker.mayDispatch(now) || !(exemptFromRetryBudget || context.retries().tryRetry(now))) {
      failWithFinalCode(detail);
      return;
    }
    if (delivered) {
      delivered = false;
      writeQueue.execute(() -> writeToCaller(answer::restart));
    }
    attempt();
  }

  /**
   * Reattaches over a new link to the same incarnation of the agent, whose buffer holds the rest of
   * the answer. Tries again until {@link #REATTACH_TIMEOUT} has passed.
   */
  private synchronized void reattach() {
    if (ended) {
      return;
    }
    Optional<Link> link =
        context
            .links()
            .link(target)
            .filter(open -> open.peer().incarnation() == attemptIncarnation);
    if (link.isPresent() && attach(link.get())) {
      return;
    }
    Instant now = context.clock().instant();
    if (now.isBefore(reattachUntil)) {
      context.timers().schedule(now.plus(REATTACH_INTERVAL), this::reattach);
      return;
    }
    onAttemptLost();
  }

  private boolean attach(Link link) {
    return link.offer(
        Frame.newBuilder()
            .setAttach(
                Attach.newBuilder()
                    .setAttemptId(attemptId)
                    .setWorkspace(request.workspace())
                    .setFromChunk(assembler.nextNumber())
                    .setCredit(CREDIT_WINDOW_CHUNKS))
            .build());
  }

  private synchronized void onDeadlinePassed() {
    if (ended) {
      return;
    }
    cancel(attemptId);
    closeAttempt(false);
    ResultCode code =
        tracker.giveUp(ResultCode.DEADLINE_PASSED_QUEUED, ResultCode.DEADLINE_PASSED_RUNNING);
    fail(code, "the deadline has passed");
  }

  private void cancel(String abandonedAttempt) {
    Cancel cancel = Cancel.newBuilder().setAttemptId(abandonedAttempt).build();
    context
        .links()
        .link(target)
        .ifPresent(link -> link.offer(Frame.newBuilder().setCancel(cancel).build()));
  }

  private void closeAttempt(boolean failed) {
    context.links().unregister(attemptId);
    context
        .router()
        .finished(
            target, request.estimatedTokens(), failed, attemptStartedAt, context.clock().instant());
  }

  private void forwardChunk(Link link, String stream, long number, byte[] data) {
    String ofAttempt = attemptId;
    writeQueue.execute(
        () -> {
          writeToCaller(
              () -> {
                answer.writeChunk(stream, number, data);
                if (!writeQueue.hasQueuedTasks()) {
                  answer.flush();
                }
              });
          if ((number + 1) % CREDIT_BATCH_CHUNKS == 0) {
            link.offer(
                Frame.newBuilder()
                    .setCredit(
                        Credit.newBuilder().setAttemptId(ofAttempt).setChunks(CREDIT_BATCH_CHUNKS))
                    .build());
          }
        });
  }

  private void succeed(AnswerEnd end) {
    finish(ResultCode.OK, (double) end.usedTokens(), () -> answer.succeed(end));
  }

  private void failWithFinalCode(String detail) {
    fail(tracker.finalCode(ResultCode.NO_TARGET).orElse(ResultCode.OUTCOME_UNKNOWN), detail);
  }

  private void fail(ResultCode code, String detail) {
    ResultException failure = new ResultException(code, detail, retryAt.orElse(null));
    finish(code, 0, () -> answer.fail(failure));
  }

  /**
   * Ends the request. It counts as in flight until its last byte is written; otherwise an entry
   * that stops once nothing is in flight could cut off the end of an answer.
   */
  private void finish(ResultCode code, double usedTokens, CallerAction lastWrite) {
    ended = true;
    Instant now = context.clock().instant();
    writeQueue.execute(
        () -> {
          writeToCaller(lastWrite);
          finishListener.accept(code, usedTokens);
        });
    logger.atInfo().log(
        "%s",
        LogEvent.of("request.finished")
            .request(request.requestId())
            .with("workspace", request.workspace())
            .with("served", request.servedName())
            .with("attempts", attemptCount)
            .with("target", target)
            .with("millis", Duration.between(startedAt, now).toMillis())
            .code(code));
  }

  /**
   * Writes to the caller; a failed write means that the caller has disconnected and ends the
   * request.
   */
  private void writeToCaller(CallerAction action) {
    try {
      action.run();
    } catch (IOException e) {
      onCallerDisconnected();
    }
  }

  @FunctionalInterface
  private interface CallerAction {
    void run() throws IOException;
  }
}
