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
 * One request from its first attempt to its final answer, as a careful caller goes about it: a
 * refusal as not run is sent again when the entry says, a broken stream is joined again elsewhere,
 * a call that may not be repeated is only ever sent again with its key. Used by one thread.
 */
final class CallerSession {
  private static final long PAUSE_MILLIS = 100;
  private static final int DONE = 0;
  private static final Set<Integer> NO_USE_TO_RETRY =
      Set.of(
          ResultCode.ANSWER_NO_LONGER_KEPT.number(), ResultCode.IDEMPOTENCY_KEY_EXPIRED.number());

  private final PlannedRequest request;
  private final EntryClient entryClient;
  private final EntryAddresses addresses;
  private final LoadOptions options;
  private final long giveUpAtNanos;
  private final List<Long> chunkNanos = new ArrayList<>();
  private final List<String> notRunIds = new ArrayList<>();
  private StreamedAnswer answer = new StreamedAnswer();
  private String stream = "";
  private int turn;
  private int attempts;
  private int resumes;
  private int restarts;
  private boolean mayHaveRun;
  private Optional<Problem> lastProblem = Optional.empty();
  private String lastDetail = "";

  /** What became of a request. */
  enum Outcome {
    DONE,
    NOT_RUN,
    OUTCOME_UNKNOWN,
    /** The caller itself left on the way. */
    LEFT,
    /** No answer of any kind within the caller's patience. */
    LOST,
    /** An answer that must never be: wrong, partial or doubled. */
    BREACH
  }

  /**
   * A request's end.
   *
   * @param resultCode number of the last result code, 0 when done
   * @param chunkNanos when each chunk came, by {@code System.nanoTime()}
   * @param notRunIds the entries' names of attempts that were refused as not run
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
    this.turn = request.number();
    this.giveUpAtNanos =
        startNanos + request.intendedNanos() + TimeUnit.SECONDS.toNanos(options.timeoutSeconds());
  }

  /** Runs the request to its end. */
  Ending run() throws InterruptedException {
    while (left().toNanos() > 0 && attempts <= options.retries()) {
      EntryClient.Result result = attempt(addresses.address(turn));
      Optional<Ending> ending = judge(result);
      if (ending.isPresent()) {
        return ending.get();
      }
    }
    return givenUp();
  }

  private EntryClient.Result attempt(URI entry) throws InterruptedException {
    if (!request.streamed()) {
      attempts++;
      return entryClient.send(request, entry, left());
    }
    StreamReader reader = new StreamReader(answer, chunkNanos::add);
    if (!stream.isEmpty()) {
      resumes++;
      return entryClient.resume(request, entry, stream, left(), answer, reader);
    }
    attempts++;
    return entryClient.stream(request, entry, left(), answer, reader);
  }

  private Optional<Ending> judge(EntryClient.Result result) throws InterruptedException {
    lastDetail = result.detail();
    return switch (result.kind()) {
      case ANSWERED -> answered(result);
      case REFUSED -> refused(result);
      case LEFT -> Optional.of(ending(Outcome.LEFT, ResultCode.CANCELLED.number(), ""));
      case UNREACHABLE -> {
        attempts = Math.max(0, attempts - 1);
        addresses.invalidate();
        goElsewhere(PAUSE_MILLIS);
        yield Optional.empty();
      }
      case BROKEN -> {
        mayHaveRun = true;
        addresses.invalidate();
        if (!result.stream().isEmpty()) {
          stream = result.stream();
        }
        if (stream.isEmpty()) {
          startAnew();
        }
        goElsewhere(resumes > 0 ? PAUSE_MILLIS : 0);
        yield Optional.empty();
      }
    };
  }

  private Optional<Ending> answered(EntryClient.Result result) throws InterruptedException {
    if (!request.streamed()) {
      boolean own = result.body().map(this::isOwnAnswer).orElse(false);
      return Optional.of(own ? ending(Outcome.DONE, DONE, "") : breach("wrong answer"));
    }
    if (answer.breach().isPresent()) {
      return Optional.of(breach(answer.breach().get()));
    }
    int code = answer.endCode().orElse(DONE);
    if (code != DONE) {
      lastProblem = Optional.of(new Problem(code, "outcome unknown", "end of stream"));
      startAnew();
      goElsewhere(PAUSE_MILLIS);
      return Optional.empty();
    }
    boolean own = answer.text().equals(request.expectedText());
    return Optional.of(
        own
            ? ending(Outcome.DONE, DONE, "")
            : breach("wrong: got " + answer.text() + " for " + request.expectedText()));
  }

  private Optional<Ending> refused(EntryClient.Result result) throws InterruptedException {
    Problem problem = result.problem().orElseThrow();
    lastProblem = Optional.of(problem);
    // A refused join says nothing about the answer itself, which may have run in part.
    boolean joining = !stream.isEmpty();
    if (problem.notRun() && !joining && !result.requestId().isEmpty()) {
      notRunIds.add(result.requestId());
    }
    mayHaveRun |= !problem.notRun();
    boolean never =
        ResultCode.ofNumber(problem.resultCode())
            .map(code -> code.retry() == ResultCode.Retry.NEVER)
            .orElse(false);
    if ((never && !joining) || NO_USE_TO_RETRY.contains(problem.resultCode())) {
      return Optional.of(told(problem));
    }
    boolean brokenOnTheWay = !result.stream().isEmpty() && !joining && !problem.notRun();
    if (brokenOnTheWay) {
      stream = result.stream();
      answer.clearProblem();
    } else {
      startAnew();
    }
    goElsewhere(result.retryAfterMillis() > 0 ? result.retryAfterMillis() : PAUSE_MILLIS);
    return Optional.empty();
  }

  private boolean isOwnAnswer(JsonNode body) {
    if (request.forModel()) {
      return StreamReader.textOf(body.path("choices").path(0))
          .map(request.expectedText()::equals)
          .orElse(false);
    }
    String sent = request.body().map(JsonNode::toString).orElse("");
    return body.path("body").asText().equals(sent)
        && request.path().endsWith(body.path("path").asText("no path"));
  }

  private void startAnew() {
    restarts += answer.restarts();
    answer = new StreamedAnswer();
    stream = "";
    chunkNanos.clear();
  }

  private void goElsewhere(long pauseMillis) throws InterruptedException {
    turn++;
    Thread.sleep(Math.min(pauseMillis, Math.max(0, left().toMillis())));
  }

  private Duration left() {
    return Duration.ofNanos(giveUpAtNanos - System.nanoTime());
  }

  private Ending givenUp() {
    return lastProblem.map(this::told).orElseGet(() -> ending(Outcome.LOST, -1, lastDetail));
  }

  private Ending told(Problem problem) {
    // "Not run" of the last attempt says nothing about one before it that broke.
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
