package dev.ibishub.engines;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.outbound.OutboundHttp;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HttpPlainServiceTest {
  /** Time within which a call fails whose response is none; far less than its deadline. */
  private static final long CLOSE_SECONDS = 10;

  private static final String ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final AtomicInteger requests = new AtomicInteger();

  @AfterEach
  void stop() {
    executor.shutdownNow();
  }

  /**
   * Guards against the JDK client's automatic retry of a GET, which runs a call twice without a
   * trace. A service answers one call, reads the next on the same connection and closes it without
   * an answer.
   */
  @Test
  void doesNotRetryWhenKeptAliveConnectionCloses() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      executor.execute(() -> serve(server));
      URI base = URI.create("http://127.0.0.1:" + server.getLocalPort());
      PlainService service = HttpPlainService.create(base, OutboundHttp.newClient(executor));
      assertThat(codeOf(service)).isEqualTo(ResultCode.OK);
      assertThat(codeOf(service)).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
      assertThat(requests).hasValue(2);
    }
  }

  // Guards against a caller that gets what is no response, or waits for its deadline, as a service
  // sends it and keeps the connection open.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 000 odd\r\n",
        "HTTP/1.1 099 odd\r\n",
        "HTTP/1.1 600 odd\r\n",
        "HTTP/1.1 101 odd\r\n",
        "HTTP/1.1 0200 odd\r\n",
        "HTTP/1.1 +20 odd\r\n",
        "HTTP/1.1 20x odd\r\n",
        "HTTP/2.0 200 odd\r\n",
        "odd\r\n",
        "HTTP/1.1 200 OK\r\nX odd: 1\r\n",
        "HTTP/1.1 200 OK\r\nX\todd: 1\r\n",
        "HTTP/1.1 200 OK\r\nX-odd : 1\r\n",
        "HTTP/1.1 200 OK\r\nX\u0000odd: 1\r\n",
        "HTTP/1.1 200 OK\r\nX\u0001odd: 1\r\n",
        "HTTP/1.1 200 OK\r\nX\u007fodd: 1\r\n",
        "HTTP/1.1 200 OK\r\nX\u00e9odd: 1\r\n",
        "HTTP/1.1 200 OK\r\nX-odd: a\u0000b\r\n",
        "HTTP/1.1 200 OK\r\nX-odd: a\u0001b\r\n",
        "HTTP/1.1 200 OK\r\nX-odd: a\u007fb\r\n",
        "HTTP/1.1 200 OK\r\nContent Length: 4\r\n"
      })
  void otherBytesThanResponseFailTheCall(String start) throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      executor.execute(() -> respond(server, start + "Content-Length: 4\r\n\r\ngood"));
      URI base = URI.create("http://127.0.0.1:" + server.getLocalPort());
      PlainService service = HttpPlainService.create(base, OutboundHttp.newClient(executor));

      assertThat(
              CompletableFuture.supplyAsync(() -> codeOf(service), executor)
                  .get(CLOSE_SECONDS, TimeUnit.SECONDS))
          .isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    }
  }

  // Guards against a line without a field name that is passed on, or replaces the body.
  @ParameterizedTest
  @ValueSource(strings = {": odd", "odd"})
  void lineWithoutNameIsNotPassedOn(String line) throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      executor.execute(
          () ->
              respond(
                  server,
                  "HTTP/1.1 200 OK\r\n" + line + "\r\nX-a: b\r\nContent-Length: 4\r\n\r\ngood"));
      URI base = URI.create("http://127.0.0.1:" + server.getLocalPort());
      PlainService service = HttpPlainService.create(base, OutboundHttp.newClient(executor));

      ServiceAnswer answer = service.call(request()).get(CLOSE_SECONDS, TimeUnit.SECONDS);
      assertThat(answer.headers()).containsExactly(Map.entry("x-a", List.of("b")));
      assertThat(answer.body()).asString(StandardCharsets.US_ASCII).isEqualTo("good");
    }
  }

  /** Responds once and keeps the connection open. */
  private static void respond(ServerSocket server, String response) {
    try {
      Socket socket = server.accept();
      readRequest(
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII)));
      socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
      socket.getInputStream().read();
    } catch (IOException ignored) {
      // The client closed the connection.
    }
  }

  private static ServiceRequest request() {
    return new ServiceRequest(
        "r", "GET", "/points", Map.of(), new byte[0], Instant.now().plusSeconds(60));
  }

  private static ResultCode codeOf(PlainService service) {
    try {
      service.call(request()).join();
      return ResultCode.OK;
    } catch (CompletionException e) {
      return ((ResultException) e.getCause()).code();
    }
  }

  private void serve(ServerSocket server) {
    try {
      while (true) {
        serveConnection(server.accept());
      }
    } catch (IOException ignored) {
      // The test closed the socket.
    }
  }

  // Answers only the very first request, and closes the connection at any later one.
  private void serveConnection(Socket socket) throws IOException {
    try (socket) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      while (readRequest(in) && requests.incrementAndGet() == 1) {
        socket.getOutputStream().write(ANSWER.getBytes(StandardCharsets.US_ASCII));
      }
    }
  }

  private static boolean readRequest(BufferedReader in) throws IOException {
    String line = in.readLine();
    boolean found = line != null;
    while (line != null && !line.isEmpty()) {
      line = in.readLine();
    }
    return found;
  }
}
