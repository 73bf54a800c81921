package dev.ibishub.engines;

import dev.ibishub.core.ResultCode;
import dev.ibishub.outbound.BoundedBody;
import dev.ibishub.outbound.OutboundHttp;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpHeaders;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;

/**
 * Plain service client over HTTP. Each call is sent once, without the JDK client's automatic
 * retries. Thread-safe.
 */
public final class HttpPlainService implements PlainService {
  /** Header with the request id, which lets the service's logs be matched with ibishub's. */
  public static final String REQUEST_ID_HEADER = "Ibishub-Request-Id";

  private static final OutboundHttp.Failures FAILURES =
      new OutboundHttp.Failures(ResultCode.TARGET_UNREACHABLE, ResultCode.OUTCOME_UNKNOWN);

  // Hop-by-hop headers, which must not be forwarded, and headers that the HTTP client sets itself.
  private static final Set<String> CONNECTION_HEADERS =
      Set.of(
          "connection",
          "content-length",
          "expect",
          "host",
          "http2-settings",
          "ibishub-call-id",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade");

  private final OutboundHttp http;

  private HttpPlainService(OutboundHttp http) {
    this.http = http;
  }

  /**
   * Creates a client of one service.
   *
   * @param base the service's base URI, without a trailing slash
   * @param client an HTTP client from {@link OutboundHttp#newClient}
   */
  public static HttpPlainService create(URI base, HttpClient client) {
    return new HttpPlainService(OutboundHttp.create(base, client));
  }

  @Override
  public CompletableFuture<ServiceAnswer> call(ServiceRequest call) {
    HttpRequest.Builder request =
        http.request(call.pathAndQuery(), call.deadline())
            .method(call.method(), BodyPublishers.ofByteArray(call.body()));
    call.headers().entrySet().stream()
        .filter(header -> isEndToEnd(header.getKey()))
        .forEach(
            header -> header.getValue().forEach(value -> request.header(header.getKey(), value)));
    request.setHeader(REQUEST_ID_HEADER, call.requestId());
    return http.send(request.build(), BoundedBody.bytes(), FAILURES)
        .thenApply(
            response ->
                new ServiceAnswer(
                    response.statusCode(), endToEnd(response.headers()), response.body()));
  }

  private static Map<String, List<String>> endToEnd(HttpHeaders headers) {
    return headers.map().entrySet().stream()
        .filter(header -> isEndToEnd(header.getKey()))
        .collect(Collectors.toUnmodifiableMap(Map.Entry::getKey, Map.Entry::getValue));
  }

  private static boolean isEndToEnd(String header) {
    String name = header.toLowerCase(Locale.ROOT);
    return !CONNECTION_HEADERS.contains(name) && !name.startsWith(":");
  }
}
