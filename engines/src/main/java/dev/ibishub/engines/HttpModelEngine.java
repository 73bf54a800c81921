package dev.ibishub.engines;

import dev.ibishub.core.ResultCode;
import dev.ibishub.outbound.OutboundHttp;
import dev.ibishub.outbound.OutboundJson;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;

/**
 * Model engine client over HTTP, as described in {@code docs/PLATFORM-PROTOCOLS.md}. Thread-safe.
 *
 * <p>Pieces are read one line at a time on the client's executor. The next line is requested when
 * the listener returns, so a listener that blocks applies backpressure to the engine.
 */
public final class HttpModelEngine implements ModelEngine {
  private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration RESUME_TIMEOUT = Duration.ofSeconds(10);
  private static final OutboundHttp.Failures GENERATE_FAILURES =
      new OutboundHttp.Failures(ResultCode.TARGET_UNREACHABLE, ResultCode.ENGINE_FAILED);
  private static final OutboundHttp.Failures READ_FAILURES =
      new OutboundHttp.Failures(ResultCode.TARGET_UNREACHABLE, ResultCode.TARGET_UNREACHABLE);
  private static final OutboundHttp.Failures ORDER_FAILURES =
      new OutboundHttp.Failures(ResultCode.TARGET_UNREACHABLE, ResultCode.ORDER_UNDECIDED);

  private final OutboundHttp http;

  private HttpModelEngine(OutboundHttp http) {
    this.http = http;
  }

  /**
   * Creates a client of one engine.
   *
   * @param base the engine's base URI, without a trailing slash
   * @param client an HTTP client from {@link OutboundHttp#newClient}
   */
  public static HttpModelEngine create(URI base, HttpClient client) {
    return new HttpModelEngine(OutboundHttp.create(base, client));
  }

  @Override
  public CompletableFuture<GenerationEnd> generate(
      GenerationCall call, GenerationListener listener) {
    return stream(post("/v1/generate", call, call.deadline()), 0, listener);
  }

  @Override
  public CompletableFuture<GenerationEnd> resume(
      String streamId, long fromPiece, GenerationListener listener) {
    HttpRequest request =
        http.request(
                streamPath(streamId) + "?from=" + fromPiece, Instant.now().plus(RESUME_TIMEOUT))
            .GET()
            .build();
    return stream(request, fromPiece, listener);
  }

  @Override
  public CompletableFuture<Void> cancel(String streamId) {
    HttpRequest request = control(streamPath(streamId)).DELETE().build();
    return http.call(request, Void.class, READ_FAILURES);
  }

  @Override
  public CompletableFuture<EngineLoad> load() {
    return http.call(control("/v1/load").GET().build(), EngineLoad.class, READ_FAILURES);
  }

  @Override
  public CompletableFuture<CacheEvents> cacheEvents(long fromSequence) {
    HttpRequest request = control("/v1/cache-events?from=" + fromSequence).GET().build();
    return http.call(request, CacheEvents.class, READ_FAILURES);
  }

  @Override
  public CompletableFuture<EngineState> state() {
    return http.call(control("/v1/state").GET().build(), EngineState.class, READ_FAILURES);
  }

  @Override
  public CompletableFuture<EngineState> order(EngineOrder order) {
    HttpRequest request = post("/v1/orders", order, Instant.now().plus(ORDER_TIMEOUT));
    return http.call(request, EngineState.class, ORDER_FAILURES);
  }

  @Override
  public CompletableFuture<RankState> rank() {
    return http.call(control("/v1/rank").GET().build(), RankState.class, READ_FAILURES);
  }

  @Override
  public CompletableFuture<RankState> orderRank(RankOrder order) {
    HttpRequest request = post("/v1/rank/orders", order, Instant.now().plus(CONTROL_TIMEOUT));
    return http.call(request, RankState.class, ORDER_FAILURES);
  }

  private CompletableFuture<GenerationEnd> stream(
      HttpRequest request, long firstPiece, GenerationListener listener) {
    return http.send(
            request,
            GenerationReader.handler(firstPiece, listener, GENERATE_FAILURES),
            GENERATE_FAILURES)
        .thenApply(response -> response.body().get());
  }

  private HttpRequest post(String path, Object body, Instant deadline) {
    return http.request(path, deadline)
        .POST(BodyPublishers.ofByteArray(OutboundJson.write(body)))
        .build();
  }

  private HttpRequest.Builder control(String path) {
    return http.request(path, Instant.now().plus(CONTROL_TIMEOUT));
  }

  private static String streamPath(String streamId) {
    return "/v1/streams/" + OutboundHttp.encode(streamId);
  }
}
