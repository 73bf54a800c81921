package dev.ibishub.outbound;

import dev.ibishub.core.ResultCode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest.BodyPublishers;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;

/** The weight store by HTTP, as {@code docs/PLATFORM-PROTOCOLS.md} describes it. */
public final class HttpWeightStore implements WeightStore {
  private static final Duration TIMEOUT = Duration.ofSeconds(3);
  // A lost answer may have used up the reservation. Asking again later only costs rate, so both
  // cases are told as busy.
  private static final OutboundHttp.Failures FAILURES =
      new OutboundHttp.Failures(ResultCode.WEIGHT_STORE_BUSY, ResultCode.WEIGHT_STORE_BUSY);

  private final OutboundHttp http;

  private HttpWeightStore(OutboundHttp http) {
    this.http = http;
  }

  /**
   * Creates an adapter.
   *
   * @param base where the store listens, without a slash at the end
   * @param client from {@link OutboundHttp#newClient}
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
