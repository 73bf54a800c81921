package dev.ibishub.entry;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.settings.EntrySettings;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the server with raw sockets. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
final class EndpointServerTest {
  private static final EntrySettings SETTINGS =
      EntrySettings.parse(
          "settings",
          """
          {
            "processId": "entry-1", "zone": "vake", "site": "tbilisi", "host": "127.0.0.1",
            "callerPort": 0, "peerPort": 0, "operators": [],
            "logUrl": "http://127.0.0.1:1", "virtualMachineListUrl": "http://127.0.0.1:1",
            "maximumBodyBytes": 100, "maximumHeaderBytes": 500, "slowSenderSeconds": 1
          }
          """);

  /** More than the buffers of both ends of a connection hold. */
  private static final int LONG_BODY_BYTES = 32 << 20;

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final CountDownLatch held = new CountDownLatch(1);
  private final CountDownLatch wrote = new CountDownLatch(1);
  private final CountDownLatch disconnected = new CountDownLatch(1);
  private EndpointServer server;

  @BeforeEach
  void start() {
    server =
        new EndpointServer(SETTINGS, 1, InstantSource.system(), threads, new PrometheusRegistry());
    server.listen();
    server.add(
        "/echo",
        (exchange, requestId) ->
            HttpExchanges.send(exchange, 200, "text/plain", HttpExchanges.readBody(exchange, 100)));
    server.add(
        "/hold",
        (exchange, requestId) -> {
          exchange.onDisconnect(disconnected::countDown);
          held.countDown();
        });
    server.add("/long", (exchange, requestId) -> writeLongBody(exchange));
    server.start();
  }

  @AfterEach
  void stop() {
    server.close();
    threads.shutdownNow();
  }

  private void writeLongBody(CallerHttpExchange exchange) throws IOException {
    exchange.sendResponseHeaders(200, LONG_BODY_BYTES);
    exchange.onDisconnect(disconnected::countDown);
    try (OutputStream body = exchange.getResponseBody()) {
      body.write(new byte[1 << 20]);
      wrote.countDown();
      for (int i = 1; i < LONG_BODY_BYTES >> 20; i++) {
        body.write(new byte[1 << 20]);
      }
    }
    exchange.close();
  }

  private Socket connect() throws IOException {
    return new Socket(InetAddress.getLoopbackAddress(), server.port());
  }

  private static void write(Socket caller, String text) throws IOException {
    caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private static String readAll(Socket caller) throws IOException {
    return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
  }

  @ParameterizedTest
  @CsvSource({
    "'POST /echo HTTP/1.0\r\nHost: a\r\nContent-Length: 2\r\n\r\nok', 200, ok",
    "'POST /echo HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok', 200, ok",
    "'GET /none HTTP/1.0\r\nHost: a\r\n\r\n', 404, '\"resultCode\":1004'",
    "'GET /%zz HTTP/1.0\r\nHost: a\r\n\r\n', 400, '\"resultCode\":1001'",
    "'no request\r\n\r\n', 400, '\"resultCode\":1001'",
    "'POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n', 413, '\"resultCode\":1006'",
    "'POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n', 408, '\"resultCode\":1011'"
  })
  void requestGetsResponseOrProblem(String request, int status, String part) throws IOException {
    try (Socket caller = connect()) {
      write(caller, request);

      assertThat(readAll(caller)).startsWith("HTTP/1.1 " + status).contains(part);
    }
  }

  @Test
  void longHeaderIsRejected() throws IOException {
    try (Socket caller = connect()) {
      write(caller, "GET /echo HTTP/1.1\r\nHost: " + "a".repeat(600) + "\r\n\r\n");

      assertThat(readAll(caller)).startsWith("HTTP/1.1 413").contains("\"resultCode\":1006");
    }
  }

  // Guards against senders that keep a connection and its buffers by sending now and then a byte.
  @Test
  void bodyThatDripsIsRejected() throws Exception {
    try (Socket caller = connect()) {
      write(caller, "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 99\r\n\r\n");
      long start = System.nanoTime();
      while (caller.getInputStream().available() == 0
          && System.nanoTime() - start < TimeUnit.SECONDS.toNanos(5)) {
        write(caller, "x");
        TimeUnit.MILLISECONDS.sleep(100);
      }

      assertThat(readAll(caller)).startsWith("HTTP/1.1 408");
    }
  }

  @Test
  void requestsOfOneConnectionAreAnsweredInOrder() throws IOException {
    String request = "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n";
    try (Socket caller = connect()) {
      write(caller, request + "\r\n1" + request + "\r\n2" + request + "Connection: close\r\n\r\n3");

      String responses = readAll(caller);

      assertThat(responses).containsSubsequence("\r\n\r\n1", "\r\n\r\n2", "\r\n\r\n3");
    }
  }

  // Guards against a disconnect that is not noticed behind further requests of the connection.
  @Test
  void disconnectIsToldBehindFurtherRequests() throws Exception {
    try (Socket caller = connect()) {
      String request = "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n";
      write(caller, request);
      assertThat(held.await(5, TimeUnit.SECONDS)).isTrue();
      write(caller, request.repeat(19));
    }

    assertThat(disconnected.await(500, TimeUnit.MILLISECONDS)).isTrue();
  }

  // Guards against threads that stay blocked in a write to a caller that has left.
  @Test
  void disconnectEndsBlockedWrite() throws Exception {
    try (Socket caller = connect()) {
      write(caller, "GET /long HTTP/1.1\r\nHost: a\r\n\r\n");
      assertThat(wrote.await(5, TimeUnit.SECONDS)).isTrue();
    }

    assertThat(disconnected.await(500, TimeUnit.MILLISECONDS)).isTrue();
    threads.shutdown();
    assertThat(threads.awaitTermination(2, TimeUnit.SECONDS)).isTrue();
  }

  @Test
  void longBodyArrivesWhole() throws IOException {
    try (Socket caller = connect()) {
      write(caller, "GET /long HTTP/1.0\r\nHost: a\r\n\r\n");

      assertThat(readAll(caller).length()).isGreaterThan(LONG_BODY_BYTES);
    }
  }

  // Guards against an entry that ends before it has written a response whose caller reads slowly.
  @Test
  void serverIsBusyUntilResponseIsWritten() throws Exception {
    server.add(
        "/whole",
        (exchange, requestId) ->
            HttpExchanges.send(exchange, 200, "text/plain", new byte[LONG_BODY_BYTES]));
    try (Socket caller = connect()) {
      write(caller, "GET /whole HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
      while (server.unwritten().bytes() == 0) {
        TimeUnit.MILLISECONDS.sleep(5);
      }
      TimeUnit.MILLISECONDS.sleep(200);
      assertThat(server.inFlight()).isZero();
      assertThat(server.isBusy()).isTrue();

      assertThat(caller.getInputStream().readAllBytes()).hasSizeGreaterThan(LONG_BODY_BYTES);
      while (server.isBusy()) {
        TimeUnit.MILLISECONDS.sleep(5);
      }
    }
  }
}
