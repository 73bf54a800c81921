package dev.ibishub.standins;

import com.fasterxml.jackson.databind.JsonNode;
import dev.ibishub.outbound.OutboundJson;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.net.http.HttpResponse.BodySubscribers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * HTTP client of the entries: makes single attempts at a request, or resumes a streamed answer, and
 * reports the result. Thread-safe.
 */
final class EntryClient {
  private static final long POLL_MILLIS = 50;
  private static final Duration SHORTEST_TIMEOUT = Duration.ofMillis(1);

  private final HttpClient client;
  private final LoadOptions options;

  /** How an attempt ended. */
  enum Kind {
    /** An answer came, complete as far as the connection shows. */
    ANSWERED,
    /** The entry answered with a problem. */
    REFUSED,
    /** No connection could be made, so the request was certainly not sent. */
    UNREACHABLE,
    /** The connection broke, or no data came within the idle time or the timeout. */
    BROKEN,
    /** The caller abandoned the answer, as planned. */
    LEFT
  }

  /**
   * The result of an attempt.
   *
   * @param problem the problem that the entry reported, for {@code REFUSED}
   * @param retryAfterMillis the wait that the entry asks for, in milliseconds, 0 for none given
   * @param requestId the entry's id of the request, or empty
   * @param stream the id with which the answer can be resumed, or empty
   * @param body the JSON of an answer that is not streamed
   * @param detail explanation for people
   */
  record Result(
      Kind kind,
      Optional<Problem> problem,
      long retryAfterMillis,
      String requestId,
      String stream,
      Optional<JsonNode> body,
      String detail) {
    static Result withoutAnswer(Kind kind, String requestId, String stream, String detail) {
      return new Result(kind, Optional.empty(), 0, requestId, stream, Optional.empty(), detail);
    }
  }

  EntryClient(HttpClient client, LoadOptions options) {
    this.client = client;
    this.options = options;
  }

  /** Sends a request whose answer is not streamed. */
  Result send(PlannedRequest request, URI entry, Duration timeout) throws InterruptedException {
    HttpRequest httpRequest = builder(request, entry, timeout).build();
    CompletableFuture<HttpResponse<byte[]>> answer =
        client.sendAsync(httpRequest, BodyHandlers.ofByteArray());
    try {
      return resultOf(answer.get(timeout.toMillis(), TimeUnit.MILLISECONDS));
    } catch (ExecutionException e) {
      return failure(e.getCause(), "", "");
    } catch (TimeoutException e) {
      answer.cancel(true);
      return Result.withoutAnswer(Kind.BROKEN, "", "", "no answer in time");
    }
  }

  /** Sends a request whose streamed answer is added to {@code answer}. */
  Result stream(
      PlannedRequest request,
      URI entry,
      Duration timeout,
      StreamedAnswer answer,
      StreamReader reader)
      throws InterruptedException {
    HttpRequest httpRequest = builder(request, entry, timeout).build();
    return read(request, httpRequest, timeout, answer, reader);
  }

  /** Resumes a streamed answer at the next chunk that {@code answer} lacks. */
  Result resume(
      PlannedRequest request,
      URI entry,
      String stream,
      Duration timeout,
      StreamedAnswer answer,
      StreamReader reader)
      throws InterruptedException {
    URI uri = URI.create(entry + "/v1/streams/" + stream + "?from=" + answer.nextChunk());
    HttpRequest.Builder resumption =
        HttpRequest.newBuilder(uri).timeout(atLeastShortest(timeout)).GET();
    addHeaders(resumption, request);
    return read(request, resumption.build(), timeout, answer, reader);
  }

  private Result read(
      PlannedRequest planned,
      HttpRequest request,
      Duration timeout,
      StreamedAnswer answer,
      StreamReader reader)
      throws InterruptedException {
    CompletableFuture<HttpResponse.ResponseInfo> head = new CompletableFuture<>();
    CompletableFuture<HttpResponse<byte[]>> responseFuture =
        client.sendAsync(
            request,
            info -> {
              head.complete(info);
              return info.statusCode() == 200
                  ? BodySubscribers.fromLineSubscriber(
                      reader, unused -> new byte[0], StandardCharsets.UTF_8, "\n")
                  : BodySubscribers.ofByteArray();
            });
    try {
      HttpResponse<byte[]> response =
          awaitResponse(planned, responseFuture, head, timeout, answer, reader);
      if (response.statusCode() != 200) {
        return resultOf(response);
      }
      String requestId = header(response.headers(), "Ibishub-Request-Id");
      String stream = header(response.headers(), "Ibishub-Stream");
      if (answer.endCode().isPresent() || answer.breach().isPresent()) {
        return new Result(
            Kind.ANSWERED, Optional.empty(), 0, requestId, stream, Optional.empty(), "");
      }
      if (answer.problem().isPresent()) {
        return new Result(
            Kind.REFUSED, answer.problem(), 0, requestId, stream, Optional.empty(), "");
      }
      return Result.withoutAnswer(Kind.BROKEN, requestId, stream, "stream without an end");
    } catch (ExecutionException e) {
      return failure(e.getCause(), requestIdOf(head), streamOf(head));
    } catch (TimeoutException e) {
      reader.stop();
      responseFuture.cancel(true);
      if (abandons(planned, answer)) {
        return Result.withoutAnswer(
            Kind.LEFT, requestIdOf(head), streamOf(head), "left on the way");
      }
      return Result.withoutAnswer(Kind.BROKEN, requestIdOf(head), streamOf(head), "fell silent");
    }
  }

  // An entry whose process is suspended keeps its connections open and sends nothing. After the
  // idle time the caller gives this answer up and turns to another entry.
  private HttpResponse<byte[]> awaitResponse(
      PlannedRequest planned,
      CompletableFuture<HttpResponse<byte[]>> responseFuture,
      CompletableFuture<HttpResponse.ResponseInfo> head,
      Duration timeout,
      StreamedAnswer answer,
      StreamReader reader)
      throws InterruptedException, ExecutionException, TimeoutException {
    long deadlineNanos = System.nanoTime() + timeout.toNanos();
    long idleNanos = TimeUnit.SECONDS.toNanos(options.idleSeconds());
    while (true) {
      try {
        return responseFuture.get(POLL_MILLIS, TimeUnit.MILLISECONDS);
      } catch (TimeoutException e) {
        long now = System.nanoTime();
        boolean silent = head.isDone() && now - reader.lastLineNanos() > idleNanos;
        if (silent || now > deadlineNanos || abandons(planned, answer)) {
          throw e;
        }
      }
    }
  }

  private static boolean abandons(PlannedRequest planned, StreamedAnswer answer) {
    return planned.abandonAfterChunks().isPresent()
        && answer.nextChunk() >= planned.abandonAfterChunks().getAsInt();
  }

  private static Result resultOf(HttpResponse<byte[]> response) {
    String requestId = header(response.headers(), "Ibishub-Request-Id");
    Optional<JsonNode> body = jsonOf(response.body());
    if (response.statusCode() / 100 == 2) {
      return new Result(Kind.ANSWERED, Optional.empty(), 0, requestId, "", body, "");
    }
    Problem problem =
        body.map(Problem::of).orElse(new Problem(0, "outcome unknown", "no problem JSON"));
    return new Result(
        Kind.REFUSED,
        Optional.of(problem),
        retryAfterMillis(response),
        requestId,
        "",
        Optional.empty(),
        "status " + response.statusCode() + ": " + problem.detail());
  }

  private static Result failure(Throwable cause, String requestId, String stream) {
    boolean notSent =
        cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException;
    return Result.withoutAnswer(
        notSent ? Kind.UNREACHABLE : Kind.BROKEN, requestId, stream, cause.toString());
  }

  private HttpRequest.Builder builder(PlannedRequest request, URI entry, Duration timeout) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create(entry + request.path()))
            .timeout(atLeastShortest(timeout));
    builder.method(
        request.method(),
        request
            .body()
            .map(json -> BodyPublishers.ofByteArray(OutboundJson.write(json)))
            .orElse(BodyPublishers.noBody()));
    request.body().ifPresent(unused -> builder.header("Content-Type", "application/json"));
    request.idempotencyKey().ifPresent(key -> builder.header("Idempotency-Key", key));
    addHeaders(builder, request);
    return builder;
  }

  private void addHeaders(HttpRequest.Builder builder, PlannedRequest request) {
    builder.header("Authorization", "Bearer " + request.workspace().key());
    if (options.acceptsRestart()) {
      builder.header("Ibishub-Restart", "accept");
    }
  }

  private static Duration atLeastShortest(Duration timeout) {
    return timeout.compareTo(SHORTEST_TIMEOUT) < 0 ? SHORTEST_TIMEOUT : timeout;
  }

  private static long retryAfterMillis(HttpResponse<?> response) {
    try {
      return (long) (Double.parseDouble(header(response.headers(), "Retry-After")) * 1000);
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  private static Optional<JsonNode> jsonOf(byte[] body) {
    try {
      return Optional.of(OutboundJson.readTree(body));
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  private static String requestIdOf(CompletableFuture<HttpResponse.ResponseInfo> head) {
    return headerOf(head, "Ibishub-Request-Id");
  }

  private static String streamOf(CompletableFuture<HttpResponse.ResponseInfo> head) {
    return headerOf(head, "Ibishub-Stream");
  }

  private static String headerOf(CompletableFuture<HttpResponse.ResponseInfo> head, String name) {
    return head.isDone() ? header(head.join().headers(), name) : "";
  }

  private static String header(java.net.http.HttpHeaders headers, String name) {
    return headers.firstValue(name).orElse("");
  }
}
