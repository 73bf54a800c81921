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
import dev.ibishub.wire.AnswerEnds;
import dev.ibishub.wire.ClaimHolder;
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
 * Sees one request through: chooses targets, makes attempts, puts the answer together and gives the
 * final result. Thread-safe: I/O threads and timers come in under one lock, and the caller is
 * written to in order outside of it.
 */
final class RequestRunner implements TargetLinks.AttemptListener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Chunks that an agent may send ahead of the caller. */
  static final int WINDOW = 64;

  private static final int ASSEMBLER_WINDOW = 1 << 16;
  private static final int CREDIT_BATCH = 16;
  private static final int MAXIMUM_ATTEMPTS = 8;
  private static final Duration REJOIN_PATIENCE = Duration.ofSeconds(4);
  private static final Duration REJOIN_PAUSE = Duration.ofMillis(100);
  private static final Duration RETURN_PATIENCE = Duration.ofSeconds(10);
  private static final Duration DEADLINE_MARGIN = Duration.ofMillis(200);

  private final RequestContext context;
  private final CallerRequest request;
  private final AnswerWriter answer;
  private final FinishListener onFinished;
  private final SerialExecutor writer;
  private final RequestTracker tracker;
  private final Set<String> excluded = new HashSet<>();
  private final Instant startedAt;
  private Optional<Instant> retryAt = Optional.empty();
  private int attemptCount;
  private String attemptId = "";
  private String target = "";
  private String streamName = "";
  private AnswerAssembler assembler;
  private AnswerEnd lastEnd;
  private long attemptIncarnation;
  private Instant attemptAt;
  private Instant rejoinUntil;
  private boolean delivered;
  private boolean ended;

  /** Told once how the request ended and how many tokens it used. */
  @FunctionalInterface
  interface FinishListener {
    void accept(ResultCode code, double usedTokens);
  }

  RequestRunner(
      RequestContext context,
      CallerRequest request,
      AnswerWriter answer,
      FinishListener onFinished) {
    this.onFinished = onFinished;
    this.context = context;
    this.request = request;
    this.answer = answer;
    this.writer = new SerialExecutor(context.threads());
    this.tracker = RequestTracker.of(request.repeatability(), request.deadline());
    this.startedAt = context.clock().instant();
    if (request.acceptsRestart()) {
      tracker.acceptRestart();
    }
  }

  /** Begins; the answer comes on other threads. */
  synchronized void start() {
    context.timers().at(request.deadline().plus(DEADLINE_MARGIN), this::deadlinePassed);
    context.retries().onRequest();
    attempt();
  }

  /** Joins an answer that an agent keeps, instead of asking for a new one. */
  synchronized void join(Link link, StreamName stream) {
    context.timers().at(request.deadline().plus(DEADLINE_MARGIN), this::deadlinePassed);
    open(link, stream.attemptId());
    if (!attach(link)) {
      closeAttempt(true);
      cannotJoin();
    }
  }

  /** Ends a join whose agent cannot be reached. */
  synchronized void cannotJoin() {
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
        // Started tells nothing that this side acts on.
      }
    }
  }

  @Override
  public synchronized void onLinkLost(Link link) {
    if (ended || link.peer().incarnation() != attemptIncarnation) {
      return;
    }
    if (delivered && !request.acceptsRestart()) {
      rejoinUntil = context.clock().instant().plus(REJOIN_PATIENCE);
      rejoin();
      return;
    }
    attemptLost();
  }

  /**
   * Lets go of the answer, as the caller is gone. It may come back at another entry and join its
   * answer there, so the attempt is cancelled only after a while; an agent ignores that cancel if
   * by then another entry reads the answer.
   */
  synchronized void callerGone() {
    if (ended) {
      return;
    }
    closeAttempt(false);
    Instant giveUpAt =
        answer.isResumable()
            ? context.clock().instant().plus(RETURN_PATIENCE)
            : context.clock().instant();
    String abandoned = attemptId;
    context.timers().at(giveUpAt, () -> cancel(abandoned));
    finish(ResultCode.CANCELLED, 0, () -> {});
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
      excluded.add(chosen.get());
    }
    conclude("no target can take the request now");
  }

  private Optional<String> choose(Instant now) {
    RouteQuery query =
        new RouteQuery(
            request.servedName(),
            context.zone(),
            request.prefixHash(),
            request.estimatedTokens(),
            excluded);
    return context.router().choose(query, now, context.random());
  }

  private boolean dispatch(Link link, Instant now) {
    attemptCount++;
    open(link, request.requestId() + "." + attemptCount);
    attemptAt = now;
    context.router().sent(target, request.estimatedTokens(), now);
    boolean sent =
        link.offer(
            Frame.newBuilder()
                .setDispatch(
                    request.dispatch().toBuilder().setAttemptId(attemptId).setCredit(WINDOW))
                .build());
    if (!sent) {
      tracker.neverSent(attemptId, ResultCode.TARGET_UNREACHABLE);
      closeAttempt(true);
    }
    return sent;
  }

  private void open(Link link, String id) {
    attemptId = id;
    target = link.peer().processId();
    attemptIncarnation = link.peer().incarnation();
    attemptAt = context.clock().instant();
    assembler = AnswerAssembler.forAttempt(id, ASSEMBLER_WINDOW);
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
      write(link, streamName, first + i, released.get(i));
    }
    if (!released.isEmpty()) {
      tracker.delivered();
      delivered = true;
    }
    assembler.result().ifPresent(code -> settle(link, code));
  }

  private void onEnd(Link link, AnswerEnd end, String ofAttempt) {
    if (!ofAttempt.equals(attemptId)) {
      return;
    }
    lastEnd = end;
    assembler.end(ofAttempt, end).ifPresent(code -> settle(link, code));
  }

  private void settle(Link link, ResultCode code) {
    AnswerEnd last = lastEnd;
    tracker.ended(attemptId, link.peer().incarnation(), code);
    boolean failed = code.outcome() == Outcome.OUTCOME_UNKNOWN && code != ResultCode.CANCELLED;
    closeAttempt(failed);
    if (code == ResultCode.OK) {
      succeed(last);
      return;
    }
    retryAt = last == null ? Optional.empty() : last.retryAt();
    if (last != null && ClaimHolder.of(last).isPresent()) {
      askClaimHolder(ClaimHolder.of(last).get());
      return;
    }
    excluded.add(target);
    tryAgain(last == null ? "the answer came damaged" : last.detail(), isFree(code));
  }

  /**
   * A call that may not be repeated was claimed by another agent before. That one has the answer,
   * or runs the call now; if it is gone, nobody will ever know more.
   */
  private void askClaimHolder(ProcessIncarnation holder) {
    if (!excluded.add(holder.process())) {
      fail(ResultCode.OUTCOME_UNKNOWN, "the agent that claimed this key has lost it");
      return;
    }
    context
        .linkTo()
        .apply(holder.process())
        .whenComplete((link, failure) -> onHolderLinked(holder, failure == null ? link : null));
  }

  private synchronized void onHolderLinked(ProcessIncarnation holder, Link link) {
    if (ended) {
      return;
    }
    if (link == null || link.peer().incarnation() != holder.incarnation()) {
      fail(ResultCode.OUTCOME_UNKNOWN, "the agent that claimed this key is gone");
      return;
    }
    if (!dispatch(link, context.clock().instant())) {
      conclude("the agent that claimed this key cannot be reached");
    }
  }

  private void attemptLost() {
    tracker.lost(attemptId, ResultCode.TARGET_LOST);
    closeAttempt(true);
    excluded.add(target);
    tryAgain("the target was lost", false);
  }

  /**
   * Work handed back by a target on its way out does not count against the retry budget: the budget
   * is there against storms on a system that is overloaded, and a nightly upgrade is not one.
   */
  private static boolean isFree(ResultCode code) {
    return code == ResultCode.TARGET_LEAVING;
  }

  private void tryAgain(String detail, boolean free) {
    Instant now = context.clock().instant();
    if (!tracker.mayDispatch(now) || !(free || context.retries().tryRetry(now))) {
      conclude(detail);
      return;
    }
    if (delivered) {
      delivered = false;
      writer.execute(() -> toCaller(answer::restart));
    }
    attempt();
  }

  /** Looks for a new link to the same run of the agent, whose buffer has the rest of the answer. */
  private synchronized void rejoin() {
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
    if (now.isBefore(rejoinUntil)) {
      context.timers().at(now.plus(REJOIN_PAUSE), this::rejoin);
      return;
    }
    attemptLost();
  }

  private boolean attach(Link link) {
    return link.offer(
        Frame.newBuilder()
            .setAttach(
                Attach.newBuilder()
                    .setAttemptId(attemptId)
                    .setWorkspace(request.workspace())
                    .setFromChunk(assembler.nextNumber())
                    .setCredit(WINDOW))
            .build());
  }

  private synchronized void deadlinePassed() {
    if (ended) {
      return;
    }
    cancel(attemptId);
    closeAttempt(false);
    ResultCode code =
        tracker.giveUp(ResultCode.DEADLINE_PASSED_QUEUED, ResultCode.DEADLINE_PASSED_RUNNING);
    fail(code, "the deadline has passed");
  }

  private void cancel(String abandoned) {
    Cancel cancel = Cancel.newBuilder().setAttemptId(abandoned).build();
    context
        .links()
        .link(target)
        .ifPresent(link -> link.offer(Frame.newBuilder().setCancel(cancel).build()));
  }

  private void closeAttempt(boolean failed) {
    context.links().unregister(attemptId);
    context
        .router()
        .finished(target, request.estimatedTokens(), failed, attemptAt, context.clock().instant());
  }

  private void write(Link link, String stream, long number, byte[] data) {
    String ofAttempt = attemptId;
    writer.execute(
        () -> {
          toCaller(
              () -> {
                answer.writeChunk(stream, number, data);
                if (!writer.hasWaiting()) {
                  answer.flush();
                }
              });
          if ((number + 1) % CREDIT_BATCH == 0) {
            link.offer(
                Frame.newBuilder()
                    .setCredit(Credit.newBuilder().setAttemptId(ofAttempt).setChunks(CREDIT_BATCH))
                    .build());
          }
        });
  }

  private void succeed(AnswerEnd end) {
    finish(ResultCode.OK, (double) end.usedTokens(), () -> answer.succeed(end));
  }

  private void conclude(String detail) {
    fail(tracker.finalCode(ResultCode.NO_TARGET).orElse(ResultCode.OUTCOME_UNKNOWN), detail);
  }

  private void fail(ResultCode code, String detail) {
    ResultException failure = new ResultException(code, detail, retryAt.orElse(null));
    finish(code, 0, () -> answer.fail(failure));
  }

  /**
   * Ends the request. It counts as in flight until its last byte is written: an entry that stops
   * when nothing is in flight would else cut off the end of an answer.
   */
  private void finish(ResultCode code, double usedTokens, CallerAction lastWrite) {
    ended = true;
    Instant now = context.clock().instant();
    writer.execute(
        () -> {
          toCaller(lastWrite);
          onFinished.accept(code, usedTokens);
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

  /** A caller that is gone shows as a failed write; what runs for it is stopped. */
  private void toCaller(CallerAction action) {
    try {
      action.run();
    } catch (IOException e) {
      callerGone();
    }
  }

  @FunctionalInterface
  private interface CallerAction {
    void run() throws IOException;
  }
}
