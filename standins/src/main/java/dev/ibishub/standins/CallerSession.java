package dev.ibishub.standins;

import com.fasterxml.jackson.databind.JsonNode;
import dev.ibishub.core.ResultCode;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Carries one request through entries, from its first attempt to its final outcome, following the
 * retry rules for callers.
 *
 * <p>A request that was refused as not run is sent again after the time that the entry names; a
 * broken stream is resumed at another entry; and a call that must not run twice is sent again only
 * with its idempotency key. Used by one thread.
 */
final class CallerSession {
  private static final long PAUSE_MILLIS = 100;
  private static final int DONE = 0;
  private static final Set<Integer> NOT_RETRYABLE =
      Set.of(
          ResultCode.ANSWER_NO_LONGER_KEPT.number(), ResultCode.IDEMPOTENCY_KEY_EXPIRED.number());

  private final PlannedRequest request;
  private final EntryClient entryClient;
  private final EntryAddresses addresses;
  private final LoadOptions options;
  private final long deadlineNanos;
  private final List<Long> chunkNanos = new ArrayList<>();
  private final List<String> notRunIds = new ArrayList<>();
  private StreamedAnswer answer = new StreamedAnswer();
  private String stream = "";
  private int addressIndex;
  private int attempts;
  private int resumes;
  private int restarts;
  private boolean mayHaveRun;
  private Optional<Problem> lastProblem = Optional.empty();
  private String lastDetail = "";

  /** Outcome of a request from the caller's point of view. */
  enum Outcome {
    DONE,
    NOT_RUN,
    OUTCOME_UNKNOWN,
    /** The caller abandoned the answer, as planned. */
    LEFT,
    /** No answer of any kind came within the timeout. */
    LOST,
    /** The answer was wrong, partial or duplicated, which must never happen. */
    BREACH
  }

  /**
   * The outcome of a request with its counts and times.
   *
   * @param resultCode number of the last result code, 0 when done, -1 where there is none
   * @param chunkNanos arrival time of each chunk, as {@code System.nanoTime()}
   * @param notRunIds the entries' request ids of attempts that were refused as not run
   * @param endNanos time of the outcome, as {@code System.nanoTime()}
   */
  record Ending(
      PlannedRequest request,
      Outcome outcome,
      int resultCode,
      int attempts,
      int resumes,
      int restarts,
      List<Long> chunkNanos,
      List<String> notRunIds,
      long endNanos,
      String detail) {}

  CallerSession(
      PlannedRequest request,
      EntryClient entryClient,
      EntryAddresses addresses,
      LoadOptions options,
      long startNanos) {
    this.request = request;
    this.entryClient = entryClient;
    this.addresses = addresses;
    this.options = options;
    this.addressIndex = request.number();
    this.deadlineNanos =
        startNanos + request.intendedNanos() + TimeUnit.SECONDS.toNanos(options.timeoutSeconds());
  }

  /**
   * Runs the request until its outcome is known, the retries are used up or the timeout has passed.
   */
  Ending run() throws InterruptedException {
    while (remaining().toNanos() > 0 && attempts <= options.retries()) {
      EntryClient.Result result = attempt(addresses.address(addressIndex));
      Optional<Ending> ending = handleResult(result);
      if (ending.isPresent()) {
        return ending.get();
      }
    }
    return endingAfterLastAttempt();
  }

  private EntryClient.Result attempt(URI entry) throws InterruptedException {
    if (!request.streamed()) {
      attempts++;
      return entryClient.send(request, entry, remaining());
    }
    StreamReader reader = new StreamReader(answer, chunkNanos::add);
    if (!stream.isEmpty()) {
      resumes++;
      return entryClient.resume(request, entry, stream, remaining(), answer, reader);
    }
    attempts++;
    return entryClient.stream(request, entry, remaining(), answer, reader);
  }

  private Optional<Ending> handleResult(EntryClient.Result result) throws InterruptedException {
    lastDetail = result.detail();
    return switch (result.kind()) {
      case ANSWERED -> answered(result);
      case REFUSED -> refused(result);
      case LEFT -> Optional.of(ending(Outcome.LEFT, ResultCode.CANCELLED.number(), ""));
      case UNREACHABLE -> {
        attempts = Math.max(0, attempts - 1);
        addresses.invalidate();
        moveToNextEntry(PAUSE_MILLIS);
        yield Optional.empty();
      }
      case BROKEN -> {
        mayHaveRun = true;
        addresses.invalidate();
        if (!result.stream().isEmpty()) {
          stream = result.stream();
        }
        if (stream.isEmpty()) {
          resetAnswer();
        }
        moveToNextEntry(resumes > 0 ? PAUSE_MILLIS : 0);
        yield Optional.empty();
      }
    };
  }

  private Optional<Ending> answered(EntryClient.Result result) throws InterruptedException {
    if (!request.streamed()) {
      boolean matches = result.body().map(this::isExpectedAnswer).orElse(false);
      return Optional.of(matches ? ending(Outcome.DONE, DONE, "") : breach("wrong answer"));
    }
    if (answer.breach().isPresent()) {
      return Optional.of(breach(answer.breach().get()));
    }
    int code = answer.endCode().orElse(DONE);
    if (code != DONE) {
      lastProblem = Optional.of(new Problem(code, "outcome unknown", "end of stream"));
      resetAnswer();
      moveToNextEntry(PAUSE_MILLIS);
      return Optional.empty();
    }
    boolean matches = answer.text().equals(request.expectedText());
    return Optional.of(
        matches
            ? ending(Outcome.DONE, DONE, "")
            : breach("wrong: got " + answer.text() + " for " + request.expectedText()));
  }

  private Optional<Ending> refused(EntryClient.Result result) throws InterruptedException {
    Problem problem = result.problem().orElseThrow();
    lastProblem = Optional.of(problem);
    // A refused resumption says nothing about the answer itself, which may have run in part.
    boolean resuming = !stream.isEmpty();
    if (problem.notRun() && !resuming && !result.requestId().isEmpty()) {
      notRunIds.add(result.requestId());
    }
    mayHaveRun |= !problem.notRun();
    boolean neverRetry =
        ResultCode.ofNumber(problem.resultCode())
            .map(code -> code.retry() == ResultCode.Retry.NEVER)
            .orElse(false);
    if ((neverRetry && !resuming) || NOT_RETRYABLE.contains(problem.resultCode())) {
      return Optional.of(endingWith(problem));
    }
    boolean brokenMidStream = !result.stream().isEmpty() && !resuming && !problem.notRun();
    if (brokenMidStream) {
      stream = result.stream();
      answer.clearProblem();
    } else {
      resetAnswer();
    }
    moveToNextEntry(result.retryAfterMillis() > 0 ? result.retryAfterMillis() : PAUSE_MILLIS);
    return Optional.empty();
  }

  private boolean isExpectedAnswer(JsonNode body) {
    if (request.forModel()) {
      return StreamReader.textOf(body.path("choices").path(0))
          .map(request.expectedText()::equals)
          .orElse(false);
    }
    String sent = request.body().map(JsonNode::toString).orElse("");
    return body.path("body").asText().equals(sent)
        && request.path().endsWith(body.path("path").asText("no path"));
  }

  private void resetAnswer() {
    restarts += answer.restarts();
    answer = new StreamedAnswer();
    stream = "";
    chunkNanos.clear();
  }

  private void moveToNextEntry(long pauseMillis) throws InterruptedException {
    addressIndex++;
    Thread.sleep(Math.min(pauseMillis, Math.max(0, remaining().toMillis())));
  }

  private Duration remaining() {
    return Duration.ofNanos(deadlineNanos - System.nanoTime());
  }

  private Ending endingAfterLastAttempt() {
    return lastProblem.map(this::endingWith).orElseGet(() -> ending(Outcome.LOST, -1, lastDetail));
  }

  private Ending endingWith(Problem problem) {
    // A "not run" of the last attempt says nothing about an earlier attempt that broke.
    Outcome outcome = problem.notRun() && !mayHaveRun ? Outcome.NOT_RUN : Outcome.OUTCOME_UNKNOWN;
    return ending(outcome, problem.resultCode(), problem.detail());
  }

  private Ending breach(String detail) {
    return ending(Outcome.BREACH, -1, detail);
  }

  private Ending ending(Outcome outcome, int code, String detail) {
    return new Ending(
        request,
        outcome,
        code,
        attempts,
        resumes,
        restarts + answer.restarts(),
        List.copyOf(chunkNanos),
        List.copyOf(notRunIds),
        System.nanoTime(),
        detail);
  }
}
