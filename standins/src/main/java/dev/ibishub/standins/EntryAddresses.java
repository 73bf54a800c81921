package dev.ibishub.standins;

import dev.ibishub.outbound.OutboundJson;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * Cache of the entry addresses that the load tool uses: read from any entry and kept until the
 * first of them expires. Thread-safe under its own lock.
 */
final class EntryAddresses {
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final Duration RETRY_PAUSE = Duration.ofMillis(200);

  private final Object lock = new Object();
  private final HttpClient client;
  private final List<URI> seeds;
  private List<URI> addresses = List.of();
  private Instant validUntil = Instant.MIN;
  private Instant nextRefreshAt = Instant.MIN;

  /** One address in an entry's answer. */
  record Address(String url, String zone, String validUntil) {}

  /** An entry's answer to {@code GET /v1/addresses}. */
  record Answer(List<Address> addresses) {}

  EntryAddresses(HttpClient client, List<URI> seeds) {
    this.client = client;
    this.seeds = seeds;
  }

  /**
   * Returns one of the known addresses.
   *
   * @param index selects the address; successive values give different addresses where there are
   *     several
   */
  URI address(int index) throws InterruptedException {
    synchronized (lock) {
      Instant now = Instant.now();
      if (!now.isBefore(validUntil) && !now.isBefore(nextRefreshAt)) {
        refresh(now);
      }
      List<URI> known = addresses.isEmpty() ? seeds : addresses;
      return known.get(Math.floorMod(index, known.size()));
    }
  }

  /** Expires the cached addresses after a failure, so that the next call reads them again. */
  void invalidate() {
    synchronized (lock) {
      validUntil = Instant.MIN;
    }
  }

  private void refresh(Instant now) throws InterruptedException {
    nextRefreshAt = now.plus(RETRY_PAUSE);
    List<URI> candidates = new ArrayList<>(addresses);
    seeds.stream().filter(seed -> !candidates.contains(seed)).forEach(candidates::add);
    for (URI entry : candidates) {
      if (readFrom(entry)) {
        return;
      }
    }
  }

  private boolean readFrom(URI entry) throws InterruptedException {
    try {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create(entry + "/v1/addresses")).timeout(TIMEOUT).build();
      HttpResponse<byte[]> response = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
      if (response.statusCode() != 200) {
        return false;
      }
      List<Address> received = OutboundJson.read(response.body(), Answer.class).addresses();
      if (received.isEmpty()) {
        return false;
      }
      addresses = received.stream().map(address -> URI.create(address.url())).toList();
      validUntil =
          received.stream()
              .flatMap(address -> Stream.ofNullable(address.validUntil()))
              .map(Instant::parse)
              .min(Instant::compareTo)
              .orElse(Instant.now().plus(TIMEOUT));
      return true;
    } catch (IOException e) {
      return false;
    }
  }
}
