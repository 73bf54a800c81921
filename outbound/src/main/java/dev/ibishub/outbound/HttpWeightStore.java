package dev.ibishub.outbound;

import dev.ibishub.core.ResultCode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest.BodyPublishers;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;

/**
 * Weight store client over HTTP, as described in {@code docs/PLATFORM-PROTOCOLS.md}. Thread-safe.
 */
public final class HttpWeightStore implements WeightStore {
  private static final Duration TIMEOUT = Duration.ofSeconds(3);
  // If the answer was lost, the store may have granted the reservation. A second reservation only
  // wastes some of the store's rate, so both failures are reported as busy.
  private static final OutboundHttp.Failures FAILURES =
      new OutboundHttp.Failures(ResultCode.WEIGHT_STORE_BUSY, ResultCode.WEIGHT_STORE_BUSY);

  private final OutboundHttp http;

  private HttpWeightStore(OutboundHttp http) {
    this.http = http;
  }

  /**
   * Creates a client of the weight store.
   *
   * @param base the store's base URI, without a trailing slash
   * @param client an HTTP client from {@link OutboundHttp#newClient}
   */
  public static HttpWeightStore create(URI base, HttpClient client) {
    return new HttpWeightStore(OutboundHttp.create(base, client));
  }

  @Override
  public CompletableFuture<Void> reserve(String weights, long bytes) {
    byte[] body = OutboundJson.write(new WeightReservation(weights, bytes));
    return http.call(
        http.request("/v1/reservations", Instant.now().plus(TIMEOUT))
            .POST(BodyPublishers.ofByteArray(body))
            .build(),
        Void.class,
        FAILURES);
  }
}
