package dev.ibishub.outbound;

import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandler;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;

/**
 * What the HTTP adapters share: the client without hidden retries, and the mapping of failures to
 * result codes. Thread-safe.
 */
public final class OutboundHttp {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration SHORTEST_TIMEOUT = Duration.ofMillis(1);

  static {
    // The JDK's client repeats requests by itself: after a failed connect, and after a kept
    // connection that closed before an answer. A repeated append or service call would run twice,
    // and nobody would see it. These properties are read when the client's inner classes load, so
    // they are set here, before this class builds the first client.
    System.setProperty("jdk.httpclient.disableRetryConnect", "true");
    System.setProperty("jdk.httpclient.enableAllMethodRetry", "false");
    // GET is still repeated after a closed connection unless one attempt is the limit.
    System.setProperty("jdk.httpclient.redirects.retrylimit", "1");
    // The JDK's server closes a connection idle for 30 s. A client that keeps it longer sends into
    // the closing connection, and the call ends as "outcome unknown" for no fault of the target.
    System.setProperty("jdk.httpclient.keepalive.timeout", "20");
  }

  private final URI base;
  private final HttpClient client;

  /**
   * What a call fails with.
   *
   * @param notReached when the request surely was not written
   * @param unknown when it may have been
   */
  public record Failures(ResultCode notReached, ResultCode unknown) {}

  private OutboundHttp(URI base, HttpClient client) {
    this.base = base;
    this.client = client;
  }

  public static OutboundHttp create(URI base, HttpClient client) {
    return new OutboundHttp(base, client);
  }

  /**
   * Builds the client that every adapter of a process shares: HTTP/1.1, no hidden retries, no
   * redirects.
   *
   * @param executor runs listeners, which may block; so it has no fixed number of threads
   */
  public static HttpClient newClient(Executor executor) {
    // Without this the client offers HTTP/2 on clear text with the first request.
    return HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .followRedirects(HttpClient.Redirect.NEVER)
        .connectTimeout(CONNECT_TIMEOUT)
        .executor(executor)
        .build();
  }

  /** Encodes one segment of a path. */
  public static String encode(String segment) {
    return URLEncoder.encode(segment, StandardCharsets.UTF_8).replace("+", "%20");
  }

  /** Starts a request for a path under the base, to be answered before the deadline. */
  public HttpRequest.Builder request(String pathAndQuery, Instant deadline) {
    Duration left = Duration.between(Instant.now(), deadline);
    return HttpRequest.newBuilder(URI.create(base + pathAndQuery))
        .timeout(left.compareTo(SHORTEST_TIMEOUT) < 0 ? SHORTEST_TIMEOUT : left);
  }

  /** Sends a request once; fails with a {@link ResultException} when no answer came. */
  public <T> CompletableFuture<HttpResponse<T>> send(
      HttpRequest request, BodyHandler<T> handler, Failures failures) {
    return client
        .sendAsync(request, handler)
        .exceptionallyCompose(
            failure -> CompletableFuture.failedFuture(exceptionOf(request, failure, failures)));
  }

  /** Sends a request once and reads its answer as JSON, or as nothing for {@code Void}. */
  public <T> CompletableFuture<T> call(HttpRequest request, Class<T> type, Failures failures) {
    return send(request, BodyHandlers.ofByteArray(), failures)
        .thenApply(response -> answerOf(response, type, failures));
  }

  /** Reads a refusal; one that names no known result code may have done its work. */
  public static ResultException refusalOf(int status, byte[] body, Failures failures) {
    try {
      ErrorBody error = OutboundJson.read(body, ErrorBody.class);
      Optional<ResultCode> code =
          Arrays.stream(ResultCode.values())
              .filter(known -> known.name().equals(error.error()))
              .findFirst();
      if (code.isPresent()) {
        return new ResultException(code.get(), error.detail(), retryAt(error));
      }
    } catch (IOException ignored) {
      // Not our protocol's refusal: handled below as an answer that says nothing.
    }
    return new ResultException(failures.unknown(), "answered with status " + status);
  }

  private static Instant retryAt(ErrorBody error) {
    return error.retryAfterMillis() > 0 ? Instant.now().plusMillis(error.retryAfterMillis()) : null;
  }

  private static <T> T answerOf(HttpResponse<byte[]> response, Class<T> type, Failures failures) {
    if (response.statusCode() / 100 != 2) {
      throw refusalOf(response.statusCode(), response.body(), failures);
    }
    if (type == Void.class) {
      return null;
    }
    try {
      return OutboundJson.read(response.body(), type);
    } catch (IOException e) {
      throw new ResultException(failures.unknown(), "unreadable answer: " + e.getMessage());
    }
  }

  // A refused or timed-out connect wrote no byte of the request; after anything else the target may
  // have read all of it.
  private static Throwable exceptionOf(HttpRequest request, Throwable failure, Failures failures) {
    Throwable cause =
        failure instanceof CompletionException && failure.getCause() != null
            ? failure.getCause()
            : failure;
    if (cause instanceof ResultException) {
      return cause;
    }
    boolean notReached =
        cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException;
    return new ResultException(
        notReached ? failures.notReached() : failures.unknown(),
        request.method() + " to " + request.uri().getAuthority() + " failed: " + cause);
  }
}
