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
 * One attempt at a request, at one entry: sends it or joins its answer again, and tells what came.
 * Thread-safe.
 */
final class EntryClient {
  private static final long POLL_MILLIS = 50;
  private static final Duration SHORTEST_TIMEOUT = Duration.ofMillis(1);

  private final HttpClient client;
  private final LoadOptions options;

  /** How an attempt ended. */
  enum Kind {
    /** With an answer, whole as far as the connection tells. */
    ANSWERED,
    /** With a problem. */
    REFUSED,
    /** No connection: the request surely was not sent. */
    UNREACHABLE,
    /** The connection broke, or fell silent. */
    BROKEN,
    /** The caller itself left on the way. */
    LEFT
  }

  /**
   * What an attempt gave.
   *
   * @param problem what the entry said, for {@code REFUSED}
   * @param retryAfterMillis how long the entry asks to wait, milliseconds, 0 for unsaid
   * @param requestId the entry's name for the request, or empty
   * @param stream the name to join the answer again by, or empty
   * @param body the whole answer's JSON, for what is not streamed
   * @param detail for people
   */
  record Result(
      Kind kind,
      Optional<Problem> problem,
      long retryAfterMillis,
      String requestId,
      String stream,
      Optional<JsonNode> body,
      String detail) {
    static Result broken(Kind kind, String requestId, String stream, String detail) {
      return new Result(kind, Optional.empty(), 0, requestId, stream, Optional.empty(), detail);
    }
  }

  EntryClient(HttpClient client, LoadOptions options) {
    this.client = client;
    this.options = options;
  }

  /** Sends a request that is answered whole. */
  Result send(PlannedRequest request, URI entry, Duration patience) throws InterruptedException {
    HttpRequest sent = builder(request, entry, patience).build();
    CompletableFuture<HttpResponse<byte[]>> answer =
        client.sendAsync(sent, BodyHandlers.ofByteArray());
    try {
      return whole(answer.get(patience.toMillis(), TimeUnit.MILLISECONDS));
    } catch (ExecutionException e) {
      return failed(e.getCause(), "", "");
    } catch (TimeoutException e) {
      answer.cancel(true);
      return Result.broken(Kind.BROKEN, "", "", "no answer in time");
    }
  }

  /** Sends a request whose answer is streamed into the given one. */
  Result stream(
      PlannedRequest request,
      URI entry,
      Duration patience,
      StreamedAnswer answer,
      StreamReader reader)
      throws InterruptedException {
    HttpRequest sent = builder(request, entry, patience).build();
    return read(request, sent, patience, answer, reader);
  }

  /** Joins a streamed answer again, from the chunk that is due. */
  Result resume(
      PlannedRequest request,
      URI entry,
      String stream,
      Duration patience,
      StreamedAnswer answer,
      StreamReader reader)
      throws InterruptedException {
    URI uri = URI.create(entry + "/v1/streams/" + stream + "?from=" + answer.nextChunk());
    HttpRequest.Builder join = HttpRequest.newBuilder(uri).timeout(positive(patience)).GET();
    addHeaders(join, request);
    return read(request, join.build(), patience, answer, reader);
  }

  private Result read(
      PlannedRequest planned,
      HttpRequest request,
      Duration patience,
      StreamedAnswer answer,
      StreamReader reader)
      throws InterruptedException {
    CompletableFuture<HttpResponse.ResponseInfo> head = new CompletableFuture<>();
    CompletableFuture<HttpResponse<byte[]>> whole =
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
      HttpResponse<byte[]> response = await(planned, whole, head, patience, answer, reader);
      if (response.statusCode() != 200) {
        return whole(response);
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
      return Result.broken(Kind.BROKEN, requestId, stream, "stream without an end");
    } catch (ExecutionException e) {
      return failed(e.getCause(), requestIdOf(head), streamOf(head));
    } catch (TimeoutException e) {
      reader.stop();
      whole.cancel(true);
      if (leaves(planned, answer)) {
        return Result.broken(Kind.LEFT, requestIdOf(head), streamOf(head), "left on the way");
      }
      return Result.broken(Kind.BROKEN, requestIdOf(head), streamOf(head), "fell silent");
    }
  }

  // A stopped entry keeps its connections open and says nothing: after the idle time the caller
  // leaves the answer and goes to another entry.
  private HttpResponse<byte[]> await(
      PlannedRequest planned,
      CompletableFuture<HttpResponse<byte[]>> whole,
      CompletableFuture<HttpResponse.ResponseInfo> head,
      Duration patience,
      StreamedAnswer answer,
      StreamReader reader)
      throws InterruptedException, ExecutionException, TimeoutException {
    long giveUpAt = System.nanoTime() + patience.toNanos();
    long idleNanos = TimeUnit.SECONDS.toNanos(options.idleSeconds());
    while (true) {
      try {
        return whole.get(POLL_MILLIS, TimeUnit.MILLISECONDS);
      } catch (TimeoutException e) {
        long now = System.nanoTime();
        boolean silent = head.isDone() && now - reader.lastLineNanos() > idleNanos;
        if (silent || now > giveUpAt || leaves(planned, answer)) {
          throw e;
        }
      }
    }
  }

  private static boolean leaves(PlannedRequest planned, StreamedAnswer answer) {
    return planned.abandonAfterChunks().isPresent()
        && answer.nextChunk() >= planned.abandonAfterChunks().getAsInt();
  }

  private static Result whole(HttpResponse<byte[]> response) {
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

  private static Result failed(Throwable cause, String requestId, String stream) {
    boolean notSent =
        cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException;
    return Result.broken(
        notSent ? Kind.UNREACHABLE : Kind.BROKEN, requestId, stream, cause.toString());
  }

  private HttpRequest.Builder builder(PlannedRequest request, URI entry, Duration patience) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create(entry + request.path())).timeout(positive(patience));
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

  private static Duration positive(Duration patience) {
    return patience.compareTo(SHORTEST_TIMEOUT) < 0 ? SHORTEST_TIMEOUT : patience;
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
