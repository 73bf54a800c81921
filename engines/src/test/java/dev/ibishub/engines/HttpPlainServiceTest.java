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
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class HttpPlainServiceTest {
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

  private static ResultCode codeOf(PlainService service) {
    ServiceRequest request =
        new ServiceRequest(
            "r", "GET", "/points", Map.of(), new byte[0], Instant.now().plusSeconds(60));
    try {
      service.call(request).join();
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
