package dev.ibishub.outbound;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class HttpVirtualMachineListTest {
  private static final VirtualMachine SOUND =
      new VirtualMachine("t-1", "agent", "vake", "10.0.0.1", 7_001, false);
  private static final String SOUND_JSON =
      "{\"id\":\"t-1\",\"role\":\"agent\",\"zone\":\"vake\",\"host\":\"10.0.0.1\",\"port\":7001}";

  private final ExecutorService executor = Executors.newCachedThreadPool();
  private HttpServer server;
  private volatile String answer = "";

  @BeforeEach
  void start() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext(
        "/v1/virtual-machines",
        exchange -> {
          byte[] body = answer.getBytes(StandardCharsets.UTF_8);
          exchange.sendResponseHeaders(200, body.length);
          exchange.getResponseBody().write(body);
          exchange.close();
        });
    server.start();
  }

  @AfterEach
  void stop() {
    server.stop(0);
    executor.shutdownNow();
  }

  // Guards against an entry that links no target, as one VM of the list can't be read.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "null",
        "7",
        "{}",
        "[]",
        "{\"id\":\"m\",\"role\":\"monitor\",\"zone\":\"vake\",\"host\":\"10.0.0.9\",\"port\":1}",
        "{\"id\":\"m\",\"zone\":\"vake\",\"host\":\"10.0.0.9\",\"port\":1}",
        "{\"role\":\"agent\",\"zone\":\"vake\",\"host\":\"10.0.0.9\",\"port\":1}",
        "{\"id\":\"m\",\"role\":\"agent\",\"host\":\"10.0.0.9\",\"port\":1}",
        "{\"id\":\"m\",\"role\":\"agent\",\"zone\":\"vake\",\"port\":1}",
        "{\"id\":\"m\",\"role\":\"agent\",\"zone\":\"vake\",\"host\":\"10.0.0.9\"}",
        "{\"id\":\"m\",\"role\":\"agent\",\"zone\":\"vake\",\"host\":\"10.0.0.9\",\"port\":70000}",
        "{\"id\":\"m\",\"role\":\"agent\",\"zone\":\"vake\",\"host\":\"10.0.0.9\",\"port\":\"x\"}"
      })
  void unreadableVirtualMachineLeavesTheOthers(String odd) throws Exception {
    answer = "[" + odd + "," + SOUND_JSON + "," + odd + "]";
    URI base = URI.create("http://127.0.0.1:" + server.getAddress().getPort());
    VirtualMachineList list = HttpVirtualMachineList.create(base, OutboundHttp.newClient(executor));

    List<VirtualMachine> read = list.read().get(10, TimeUnit.SECONDS);
    assertThat(read).containsExactly(SOUND);
  }
}
