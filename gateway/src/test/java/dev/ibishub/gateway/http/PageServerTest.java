package dev.ibishub.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.gateway.callers.CallerMemory;
import dev.ibishub.gateway.callers.TestResources;
import dev.ibishub.gateway.http.PageServer.Page;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
final class PageServerTest {
  /** More than the buffers of both ends of a connection hold. */
  private static final int LARGE_CHARACTERS = 16 << 20;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final AtomicInteger served = new AtomicInteger();
  private Channel server;

  @BeforeEach
  void start() {
    server =
        PageServer.listen(
            group,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            TestResources.of(new CallerMemory(() -> 8L * LARGE_CHARACTERS)),
            this::page);
  }

  @AfterEach
  void stop() {
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private Page page(String path) {
    served.incrementAndGet();
    return Page.text(200, path.equals("/large") ? "x".repeat(LARGE_CHARACTERS) : "small\n");
  }

  private Socket connect() throws IOException {
    return new Socket(
        InetAddress.getLoopbackAddress(), ((InetSocketAddress) server.localAddress()).getPort());
  }

  private static void send(Socket client, String text) throws IOException {
    client.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private static String get(String path, String header) {
    return "GET %s HTTP/1.1\r\nHost: h\r\n%s\r\n".formatted(path, header);
  }

  // Guards against connections that are never read, as their requests come late or in pieces.
  @Test
  void requestThatComesLateOrInPiecesIsAnswered() throws Exception {
    for (int number = 0; number < 200; number++) {
      try (Socket client = connect()) {
        TimeUnit.MILLISECONDS.sleep(number % 4);
        String request = get("/small", "Connection: close\r\n");
        int piece = number % request.length();
        send(client, request.substring(0, piece));
        TimeUnit.MILLISECONDS.sleep(number % 3);
        send(client, request.substring(piece));

        assertThat(new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
            .startsWith("HTTP/1.1 200")
            .endsWith("small\n");
      }
    }
  }

  // Guards against pages that pile up on a connection whose client does not read.
  @Test
  void nextRequestWaitsUntilThePageBeforeIsRead() throws Exception {
    try (Socket client = connect()) {
      send(client, get("/large", "") + get("/small", "").repeat(20));
      TimeUnit.MILLISECONDS.sleep(300);
      assertThat(served).hasValue(1);

      client.getInputStream().readNBytes(LARGE_CHARACTERS);
      send(client, get("/small", "Connection: close\r\n"));
      client.getInputStream().readAllBytes();

      assertThat(served).hasValue(22);
    }
  }

  // Guards against bodies that pages have no use for, and that take memory.
  @Test
  void requestWithBodyIsRejected() throws Exception {
    try (Socket client = connect()) {
      send(client, get("/small", "Content-Length: 100\r\n"));

      assertThat(new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
          .startsWith("HTTP/1.1 413");
    }
  }
}
