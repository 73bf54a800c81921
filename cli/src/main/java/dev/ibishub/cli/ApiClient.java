package dev.ibishub.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.PrintStream;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Sends HTTP/1.1 requests to an entry, each only once: the launcher disables the retries of the JDK
 * client, as a publication or a non-idempotent call must not be sent twice.
 */
final class ApiClient {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);

  private final String url;
  private final Map<String, String> headers;
  private final Duration timeout;
  private final PrintStream progress;
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(CONNECT_TIMEOUT)
          .build();

  ApiClient(String url, Map<String, String> headers, Duration timeout, PrintStream progress) {
    this.url = url.endsWith("/") ? url.substring(0, url.length() - 1) : url;
    this.headers = Map.copyOf(headers);
    this.timeout = timeout;
    this.progress = progress;
  }

  ApiReply get(String path) {
    return call("GET", path, HttpRequest.BodyPublishers.noBody());
  }

  ApiReply post(String path, String body) {
    return send("POST", path, body);
  }

  ApiReply send(String method, String path, String body) {
    return call(method, path, HttpRequest.BodyPublishers.ofString(body));
  }

  private ApiReply call(String method, String path, HttpRequest.BodyPublisher body) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(uri(path)).timeout(timeout).method(method, body);
    headers.forEach(request::header);
    if (!method.equals("GET")) {
      request.header("Content-Type", "application/json");
    }
    CompletableFuture<HttpResponse<String>> pendingResponse =
        client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    try {
      HttpResponse<String> response = awaitResponse(pendingResponse, method + " " + path);
      return new ApiReply(response.statusCode(), response.body(), parseOrMissing(response.body()));
    } catch (ExecutionException e) {
      throw failure(method, e.getCause());
    }
  }

  private URI uri(String path) {
    try {
      return URI.create(url + path);
    } catch (IllegalArgumentException e) {
      throw new CommandException(ExitCode.USAGE, "not a URL: " + url + path);
    }
  }

  /** Waits for the response and prints a progress line every second. */
  private HttpResponse<String> awaitResponse(
      CompletableFuture<HttpResponse<String>> pendingResponse, String requestLine)
      throws ExecutionException {
    for (int seconds = 1; ; seconds++) {
      try {
        return pendingResponse.get(1, TimeUnit.SECONDS);
      } catch (TimeoutException expected) {
        progress.println(requestLine + ": waiting, " + seconds + " s");
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new CommandException(ExitCode.OUTCOME_UNKNOWN, "interrupted while waiting");
      }
    }
  }

  private CommandException failure(String method, Throwable cause) {
    boolean neverSent =
        cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException;
    if (neverSent || method.equals("GET")) {
      return new CommandException(ExitCode.UNREACHABLE, "cannot reach " + url + ": " + cause);
    }
    return new CommandException(
        ExitCode.OUTCOME_UNKNOWN, "no answer from " + url + ", it may have taken effect: " + cause);
  }

  private static JsonNode parseOrMissing(String text) {
    try {
      return MAPPER.readTree(text);
    } catch (JsonProcessingException e) {
      return MissingNode.getInstance();
    }
  }
}
