package dev.ibishub.outbound;

import dev.ibishub.core.ResultCode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest.BodyPublishers;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;

/**
 * Append-only log client over HTTP, as described in {@code docs/PLATFORM-PROTOCOLS.md}.
 * Thread-safe.
 *
 * <pre>{@code
 * AppendOnlyLog log = HttpAppendOnlyLog.create(base, OutboundHttp.newClient(executor));
 * log.append("configuration", bytes).thenAccept(offset -> ...);
 * }</pre>
 */
public final class HttpAppendOnlyLog implements AppendOnlyLog {
  private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(5);
  private static final OutboundHttp.Failures APPEND_FAILURES =
      new OutboundHttp.Failures(ResultCode.LOG_UNAVAILABLE, ResultCode.OUTCOME_UNKNOWN);
  private static final OutboundHttp.Failures READ_FAILURES =
      new OutboundHttp.Failures(ResultCode.LOG_UNAVAILABLE, ResultCode.LOG_UNAVAILABLE);

  private final OutboundHttp http;

  /**
   * The answer to an append.
   *
   * @param offset the record's offset in its stream
   */
  public record Appended(long offset) {}

  private HttpAppendOnlyLog(OutboundHttp http) {
    this.http = http;
  }

  /**
   * Creates a client of the log service.
   *
   * @param base the log service's base URI, without a trailing slash
   * @param client an HTTP client from {@link OutboundHttp#newClient}
   */
  public static HttpAppendOnlyLog create(URI base, HttpClient client) {
    return new HttpAppendOnlyLog(OutboundHttp.create(base, client));
  }

  @Override
  public CompletableFuture<Long> append(String stream, byte[] record) {
    return http.call(
            http.request(path(stream), Instant.now().plus(APPEND_TIMEOUT))
                .POST(BodyPublishers.ofByteArray(record))
                .build(),
            Appended.class,
            APPEND_FAILURES)
        .thenApply(Appended::offset);
  }

  @Override
  public CompletableFuture<LogPage> read(
      String stream, long fromOffset, int maximumRecords, Instant waitUntil) {
    long waitMillis = Math.max(0, Duration.between(Instant.now(), waitUntil).toMillis());
    String query =
        String.format("?from=%d&maximum=%d&waitMillis=%d", fromOffset, maximumRecords, waitMillis);
    Instant deadline = Instant.now().plusMillis(waitMillis).plus(READ_TIMEOUT);
    return http.call(
        http.request(path(stream) + query, deadline).GET().build(), LogPage.class, READ_FAILURES);
  }

  private static String path(String stream) {
    return "/v1/streams/" + OutboundHttp.encode(stream) + "/records";
  }
}
