package dev.ibishub.engines;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.outbound.HttpAppendOnlyLog;
import dev.ibishub.outbound.OutboundHttp;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Plays a system that answers a call twice, the second time where the next call's answer is. */
final class SecondAnswerTest {
  private static final String ID_HEADER = "ibishub-call-id: ";
  private static final int OK = 200;
  private static final int CONFLICT = 409;

  /** Path of a plain service, which doesn't repeat the ids of calls. */
  private static final String SERVICE_PATH = "/points";

  private static final String REFUSAL = "{\"error\":\"STALE_FENCING_TOKEN\"}";
  private static final String STATE =
      """
      {"engineStart":1,"served":[],"role":"","checksFencing":false,"highestFencingToken":0,\
      "lastOrderId":"","offset":7,"step":1,"records":[]}""";

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final HttpClient client = OutboundHttp.newClient(threads);
  private ServerSocket system;
  private URI base;

  @BeforeEach
  void listen() throws IOException {
    system = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    base = URI.create("http://127.0.0.1:" + system.getLocalPort());
    threads.execute(this::accept);
  }

  @AfterEach
  void stop() throws IOException {
    system.close();
    threads.shutdownNow();
  }

  private void accept() {
    try {
      while (true) {
        Socket connection = system.accept();
        threads.execute(() -> serve(connection));
      }
    } catch (IOException e) {
      // The test has ended.
    }
  }

  private static void serve(Socket connection) {
    try (connection) {
      BufferedReader requests =
          new BufferedReader(
              new InputStreamReader(connection.getInputStream(), StandardCharsets.ISO_8859_1));
      String earlierResponse = "";
      for (String line = requests.readLine(); line != null; line = requests.readLine()) {
        String id = "";
        int length = 0;
        for (String header = requests.readLine(); !header.isEmpty(); header = requests.readLine()) {
          String lowerCase = header.toLowerCase(Locale.ROOT);
          if (lowerCase.startsWith(ID_HEADER)) {
            id = header + "\r\n";
          } else if (lowerCase.startsWith("content-length: ")) {
            length = Integer.parseInt(header.substring(header.indexOf(' ') + 1));
          }
        }
        if (requests.skip(length) != length) {
          throw new IOException("expected a body of %d bytes".formatted(length));
        }
        boolean isWrite = line.startsWith("POST");
        if (line.contains(SERVICE_PATH)) {
          id = "";
        }
        String response = response(isWrite ? CONFLICT : OK, id, isWrite ? REFUSAL : STATE);
        connection
            .getOutputStream()
            .write((earlierResponse + response).getBytes(StandardCharsets.ISO_8859_1));
        earlierResponse = response;
      }
    } catch (IOException e) {
      // The client closed the connection.
    }
  }

  private static String response(int status, String idLine, String body) {
    return "HTTP/1.1 %d S\r\n%sContent-Length: %d\r\n\r\n%s"
        .formatted(status, idLine, body.length(), body);
  }

  private static ResultCode codeOf(CompletableFuture<?> call) {
    try {
      call.join();
      return ResultCode.OK;
    } catch (CompletionException e) {
      return ((ResultException) e.getCause()).code();
    }
  }

  // Guards against an order that counts as done, as the second answer to a read comes where that to
  // the order is expected.
  @ParameterizedTest
  @EnumSource
  void secondAnswerToReadIsNoResultOfRankOrder(RankOrder.Kind kind) {
    ModelEngine engine = HttpModelEngine.create(base, client);
    engine.rank().join();

    assertThat(codeOf(engine.orderRank(new RankOrder(kind, 1, 1, 1, new byte[0]))))
        .isEqualTo(ResultCode.ORDER_UNDECIDED);
  }

  // Guards against a model that counts as loaded.
  @ParameterizedTest
  @EnumSource
  void secondAnswerToReadIsNoResultOfOrder(EngineOrder.Kind kind) {
    ModelEngine engine = HttpModelEngine.create(base, client);
    engine.state().join();

    assertThat(codeOf(engine.order(new EngineOrder("o", kind, 1, "m", "", "", ""))))
        .isEqualTo(ResultCode.ORDER_UNDECIDED);
  }

  // Guards against a load that is the state of the engine, or of its rank.
  @Test
  void secondAnswerToReadIsNoOtherRead() {
    ModelEngine engine = HttpModelEngine.create(base, client);
    engine.state().join();

    assertThat(codeOf(engine.load())).isEqualTo(ResultCode.TARGET_UNREACHABLE);
  }

  // Guards against a record that counts as appended.
  @Test
  void secondAnswerToReadIsNoResultOfAppend() {
    HttpAppendOnlyLog log = HttpAppendOnlyLog.create(base, client);
    log.read("s", 0, 1, Instant.now()).join();

    assertThat(codeOf(log.append("s", new byte[1]))).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
  }

  // Guards against the answer to one caller that another one gets.
  @Test
  void secondAnswerOfServiceReachesNoOtherCaller() {
    PlainService service = HttpPlainService.create(base, client);
    service.call(request("GET")).join();

    assertThat(service.call(request("POST")).join().status()).isEqualTo(CONFLICT);
  }

  private static ServiceRequest request(String method) {
    return new ServiceRequest(
        "r",
        method,
        SERVICE_PATH,
        Map.of("x-a", List.of("b")),
        new byte[0],
        Instant.now().plusSeconds(10));
  }
}
