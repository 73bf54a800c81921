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
 * The entry addresses that a caller uses: asked of any entry, kept until they run out. Thread-safe
 * under its own lock.
 */
final class EntryAddresses {
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final Duration RETRY_PAUSE = Duration.ofMillis(200);

  private final Object lock = new Object();
  private final HttpClient client;
  private final List<URI> seeds;
  private List<URI> addresses = List.of();
  private Instant validUntil = Instant.MIN;
  private Instant askAgainAt = Instant.MIN;

  /** One address in an entry's answer. */
  record Address(String url, String zone, String validUntil) {}

  /** An entry's answer. */
  record Answer(List<Address> addresses) {}

  EntryAddresses(HttpClient client, List<URI> seeds) {
    this.client = client;
    this.seeds = seeds;
  }

  /**
   * Picks an address.
   *
   * @param turn counts up; neighbouring turns get different addresses where there are several
   */
  URI address(int turn) throws InterruptedException {
    synchronized (lock) {
      Instant now = Instant.now();
      if (!now.isBefore(validUntil) && !now.isBefore(askAgainAt)) {
        refresh(now);
      }
      List<URI> known = addresses.isEmpty() ? seeds : addresses;
      return known.get(Math.floorMod(turn, known.size()));
    }
  }

  /** Makes the next caller ask again, as an address has failed. */
  void invalidate() {
    synchronized (lock) {
      validUntil = Instant.MIN;
    }
  }

  private void refresh(Instant now) throws InterruptedException {
    askAgainAt = now.plus(RETRY_PAUSE);
    List<URI> asked = new ArrayList<>(addresses);
    seeds.stream().filter(seed -> !asked.contains(seed)).forEach(asked::add);
    for (URI entry : asked) {
      if (ask(entry)) {
        return;
      }
    }
  }

  private boolean ask(URI entry) throws InterruptedException {
    try {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create(entry + "/v1/addresses")).timeout(TIMEOUT).build();
      HttpResponse<byte[]> response = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
      if (response.statusCode() != 200) {
        return false;
      }
      List<Address> answered = OutboundJson.read(response.body(), Answer.class).addresses();
      if (answered.isEmpty()) {
        return false;
      }
      addresses = answered.stream().map(address -> URI.create(address.url())).toList();
      validUntil =
          answered.stream()
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
