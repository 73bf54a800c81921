package dev.ibishub.standins;

import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.engines.GenerationCall;
import dev.ibishub.outbound.OutboundHttp;
import dev.ibishub.outbound.OutboundJson;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A stand-in that listens on free ports, with an HTTP client for it. */
final class StandInFixture implements AutoCloseable {
  private final RunningStandIn running;
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final HttpClient client = OutboundHttp.newClient(executor);

  private StandInFixture(RunningStandIn running) {
    this.running = running;
  }

  static StandInFixture start(String kind, String... options) throws IOException {
    return new StandInFixture(
        StandInMain.start(kind, StandInOptions.parserOf(kind).parse(options)));
  }

  HttpClient client() {
    return client;
  }

  URI base() {
    return base(0);
  }

  URI base(int rank) {
    return URI.create("http://127.0.0.1:" + running.address(rank).getPort());
  }

  /** Returns an address at which no server listens. */
  static URI unusedAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return URI.create("http://127.0.0.1:" + socket.getLocalPort());
    }
  }

  void inject(Faults faults) throws Exception {
    control("PUT", "/control/faults", OutboundJson.write(faults));
  }

  byte[] control(String method, String path, byte[] body) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(base() + path))
            .method(method, BodyPublishers.ofByteArray(body))
            .build();
    return client.send(request, HttpResponse.BodyHandlers.ofByteArray()).body();
  }

  <T> T audit(String path, Class<T> type) throws Exception {
    return OutboundJson.read(control("GET", path, new byte[0]), type);
  }

  /** Returns the result code with which a call fails, or {@code OK} when it succeeds. */
  static ResultCode codeOf(CompletableFuture<?> call) {
    return failureOf(call).code();
  }

  static ResultException failureOf(CompletableFuture<?> call) {
    try {
      call.join();
      return new ResultException(ResultCode.OK, "");
    } catch (CompletionException e) {
      return (ResultException) e.getCause();
    }
  }

  static GenerationCall call(String streamId, String prompt, int tokens, int priority) {
    String body = "{\"prompt\":\"" + prompt + "\",\"max_tokens\":" + tokens + "}";
    return new GenerationCall(
        streamId,
        "dictionary",
        "",
        "",
        false,
        body.getBytes(StandardCharsets.UTF_8),
        tokens,
        priority,
        Instant.now().plusSeconds(60));
  }

  static String expected(GenerationCall call) throws IOException {
    return ExpectedAnswer.text(call.model(), OutboundJson.readTree(call.body()));
  }

  @Override
  public void close() {
    running.close();
    executor.shutdownNow();
  }
}
