package dev.ibishub.backends;

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
  private static final PlatformHttp.Failures FAILURES =
      new PlatformHttp.Failures(ResultCode.WEIGHT_STORE_BUSY, ResultCode.WEIGHT_STORE_BUSY);

  private final PlatformHttp http;

  private HttpWeightStore(PlatformHttp http) {
    this.http = http;
  }

  /**
   * Creates an adapter.
   *
   * @param base where the store listens, without a slash at the end
   * @param client from {@link PlatformHttp#newClient}
   */
  public static HttpWeightStore create(URI base, HttpClient client) {
    return new HttpWeightStore(PlatformHttp.create(base, client));
  }

  @Override
  public CompletableFuture<Void> reserve(String weights, long bytes) {
    byte[] body = PlatformJson.write(new WeightReservation(weights, bytes));
    return http.call(
        http.request("/v1/reservations", Instant.now().plus(TIMEOUT))
            .POST(BodyPublishers.ofByteArray(body))
            .build(),
        Void.class,
        FAILURES);
  }
}
