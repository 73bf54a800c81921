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
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadLocalRandom;

/**
 * HTTP code shared by the clients: a JDK client without automatic retries, and the mapping of
 * failures to result codes. Thread-safe.
 */
public final class OutboundHttp {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration SHORTEST_TIMEOUT = Duration.ofMillis(1);

  static {
    // The JDK client retries requests by itself after a failed connect, and after a kept-alive
    // connection closed before an answer. A retried append or service call would run twice without
    // a trace. The properties are read when the client's internal classes load, so they must be set
    // before this class builds the first client.
    System.setProperty("jdk.httpclient.disableRetryConnect", "true");
    System.setProperty("jdk.httpclient.enableAllMethodRetry", "false");
    // GET is still retried after a closed connection unless the limit is one attempt.
    System.setProperty("jdk.httpclient.redirects.retrylimit", "1");
    // The JDK server closes connections that are idle for 30 s. A client that keeps them longer may
    // send into a closing connection, and the call fails as "outcome unknown" although the target
    // is healthy.
    System.setProperty("jdk.httpclient.keepalive.timeout", "20");
  }

  /**
   * Header with the id of a call, which an external system repeats in its response. Without it, the
   * second response to one call could be taken for that to the next one on the same connection.
   */
  public static final String CALL_ID_HEADER = "Ibishub-Call-Id";

  private final URI base;
  private final HttpClient client;

  /**
   * The result codes with which a call fails when no usable answer arrives.
   *
   * @param notReached the code if the request was certainly not written
   * @param unknown the code if the request may have been written
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
   * Builds the JDK client that all clients of a process share: HTTP/1.1, without automatic retries
   * or redirects.
   *
   * @param executor runs listeners, which may block, so it must not have a fixed number of threads
   */
  public static HttpClient newClient(Executor executor) {
    // Without a fixed version the client offers an upgrade to HTTP/2 on unencrypted connections.
    return HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .followRedirects(HttpClient.Redirect.NEVER)
        .connectTimeout(CONNECT_TIMEOUT)
        .executor(executor)
        .build();
  }

  /** Percent-encodes one segment of a path. */
  public static String encode(String segment) {
    return URLEncoder.encode(segment, StandardCharsets.UTF_8).replace("+", "%20");
  }

  /** Returns a request builder for a path under the base URI, with a timeout at the deadline. */
  public HttpRequest.Builder request(String pathAndQuery, Instant deadline) {
    Duration left = Duration.between(Instant.now(), deadline);
    return HttpRequest.newBuilder(URI.create(base + pathAndQuery))
        .timeout(left.compareTo(SHORTEST_TIMEOUT) < 0 ? SHORTEST_TIMEOUT : left);
  }

  /**
   * Sends a request once, with an id of its own; fails with a {@link ResultException} if no answer
   * arrived, or one to another call.
   */
  public <T> CompletableFuture<HttpResponse<T>> send(
      HttpRequest request, BodyHandler<T> handler, Failures failures) {
    String id = HexFormat.of().toHexDigits(ThreadLocalRandom.current().nextLong());
    HttpRequest identified =
        HttpRequest.newBuilder(request, (name, value) -> true)
            .setHeader(CALL_ID_HEADER, id)
            .build();
    return client
        .sendAsync(identified, ResponseCheck.before(id, handler))
        .exceptionallyCompose(
            failure -> CompletableFuture.failedFuture(exceptionOf(request, failure, failures)));
  }

  /**
   * Sends a request once and reads its answer as JSON. For {@code Void} the body is ignored and the
   * result is null. Fails with a {@link ResultException} for a status other than 2xx.
   */
  public <T> CompletableFuture<T> call(HttpRequest request, Class<T> type, Failures failures) {
    return send(request, BoundedBody.bytes(), failures)
        .thenApply(response -> answerOf(response, type, failures));
  }

  /**
   * Converts an error response to an exception. A response without a known result code gets the
   * code {@link Failures#unknown}, because the call may have taken effect.
   */
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
      // Not an error body of this protocol: handled below like an unknown code.
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

  // If the connect failed or timed out, no byte of the request was written. After any other failure
  // the target may have read the whole request.
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
