package dev.ibishub.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the client with raw sockets that play external systems. */
final class PooledHttpClientTest {
  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
  private static final int MAXIMUM_REPLY_BYTES = 1_000;
  private static final long TIMEOUT_MILLIS = 60_000;

  /** Time within which a call fails whose response is none; far less than its timeout. */
  private static final long CLOSE_MILLIS = 10_000;

  private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";

  /** Far more than a bounded response and the buffers of both sockets. */
  private static final long MAXIMUM_WRITTEN_BYTES = 32L << 20;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final PooledHttpClient client = new PooledHttpClient(group);
  private ServerSocket system;

  @BeforeEach
  void listen() throws IOException {
    system = new ServerSocket(0, 10, LOOPBACK);
    system.setSoTimeout((int) TIMEOUT_MILLIS);
  }

  @AfterEach
  void stop() throws IOException {
    system.close();
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  private CompletableFuture<HttpReply> call() {
    return client.call(
        HttpCall.get(
            LOOPBACK.getHostAddress(),
            system.getLocalPort(),
            "/x",
            TIMEOUT_MILLIS,
            MAXIMUM_REPLY_BYTES));
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  private static void readHead(Socket socket) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      head.append((char) socket.getInputStream().read());
    }
  }

  private static long writeUntilClosed(Socket socket, String start, String rest) {
    byte[] bytes = rest.repeat(1 + (1 << 14) / rest.length()).getBytes(StandardCharsets.ISO_8859_1);
    long written = 0;
    try {
      write(socket, start);
      OutputStream output = socket.getOutputStream();
      while (written <= MAXIMUM_WRITTEN_BYTES) {
        output.write(bytes);
        written += bytes.length;
      }
    } catch (IOException e) {
      // The client closed the connection.
    }
    return written;
  }

  // Guards against a system that fills the memory, or holds a call until its timeout, with bytes
  // without end.
  @ParameterizedTest
  @CsvSource({
    "'HTTP/1.1 200 OK\r\n\r\n', x",
    "'HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n', x",
    "'HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n', '1\r\nx\r\n'",
    "'HTTP/1.1 200 OK\r\n', 'name: value\r\n'",
    "'', x",
    "'', 'HTTP/1.1 100 Continue\r\n\r\n'"
  })
  void responseWithoutEndFailsTheCall(String start, String rest) throws IOException {
    CompletableFuture<HttpReply> reply = call();
    try (Socket connection = system.accept()) {
      assertThat(writeUntilClosed(connection, start, rest)).isLessThan(MAXIMUM_WRITTEN_BYTES);
    }

    assertThatThrownBy(() -> reply.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS))
        .isInstanceOf(ExecutionException.class);
  }

  // Guards against a call that waits for its timeout, or gets a reply, as a system sends what is no
  // response and keeps the connection open.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 000 OK\r\n",
        "HTTP/1.1 099 OK\r\n",
        "HTTP/1.1 600 OK\r\n",
        "HTTP/1.1 0200 OK\r\n",
        "HTTP/1.1 101 OK\r\n",
        "HTTP/1.1 200 OK\r\nX Odd: 1\r\n",
        "HTTP/1.1 200 OK\r\nX-Odd : 1\r\n",
        "HTTP/1.1 200 OK\r\nA: b\r\n X-Odd: 1\r\n",
        "HTTP/1.1 200 OK\r\nX\u0000: 1\r\n",
        "garbage"
      })
  void otherBytesThanResponseFailTheCall(String start) throws IOException {
    CompletableFuture<HttpReply> reply = call();
    try (Socket connection = system.accept()) {
      readHead(connection);
      write(connection, start + "Content-Length: 4\r\n\r\ngood");

      assertThatThrownBy(() -> reply.get(CLOSE_MILLIS, TimeUnit.MILLISECONDS))
          .isInstanceOf(ExecutionException.class)
          .hasCauseInstanceOf(IOException.class);
    }
  }

  // Guards against a host that is looked up as a name, which blocks an event loop, and against a
  // call that throws instead of failing.
  @ParameterizedTest
  @CsvSource({"localhost, 0", "127.1, 0", "0.0.0.0, 0", "127.0.0.1, 70000"})
  void callToOtherHostThanIpNumberFails(String host, int port) {
    CompletableFuture<HttpReply> reply =
        client.call(
            HttpCall.get(
                host,
                port == 0 ? system.getLocalPort() : port,
                "/x",
                TIMEOUT_MILLIS,
                MAXIMUM_REPLY_BYTES));

    assertThatThrownBy(() -> reply.get(CLOSE_MILLIS, TimeUnit.MILLISECONDS))
        .hasCauseInstanceOf(IllegalArgumentException.class);
  }

  // Guards against an interim response that is taken for the final one, which is then taken for
  // that of the next call on the connection.
  @Test
  void interimResponseIsNotTheReply() throws Exception {
    CompletableFuture<HttpReply> first = call();
    try (Socket connection = system.accept()) {
      readHead(connection);
      write(connection, "HTTP/1.1 100 Continue\r\n\r\n" + OK + "good");
      assertThat(first.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).status()).isEqualTo(200);

      CompletableFuture<HttpReply> second = call();
      readHead(connection);
      write(connection, OK + "next");

      assertThat(second.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).body())
          .isEqualTo("next".getBytes(StandardCharsets.ISO_8859_1));
    }
  }

  // Guards against a status that is none on a connection whose earlier responses had one.
  @ParameterizedTest
  @ValueSource(strings = {"000", "099", "600"})
  void statusOfAnotherFormOnKeptConnectionFailsTheCall(String status) throws Exception {
    CompletableFuture<HttpReply> first = call();
    try (Socket connection = system.accept()) {
      readHead(connection);
      write(connection, OK + "good");
      assertThat(first.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).status()).isEqualTo(200);

      CompletableFuture<HttpReply> second = call();
      readHead(connection);
      write(connection, OK.replace("200", status) + "next");

      assertThatThrownBy(() -> second.get(CLOSE_MILLIS, TimeUnit.MILLISECONDS))
          .isInstanceOf(ExecutionException.class)
          .hasCauseInstanceOf(IOException.class);
    }
  }

  // Guards against a second response to one call that is taken for that of the next.
  @Test
  void responseToNoCallClosesTheConnection() throws Exception {
    CompletableFuture<HttpReply> first = call();
    try (Socket connection = system.accept()) {
      readHead(connection);
      write(connection, OK + "good");
      assertThat(first.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).status()).isEqualTo(200);
      write(connection, OK + "more");
      connection.setSoTimeout((int) CLOSE_MILLIS);
      assertThat(connection.getInputStream().read()).isEqualTo(-1);
    }
    CompletableFuture<HttpReply> second = call();
    try (Socket connection = system.accept()) {
      readHead(connection);
      write(connection, OK + "next");
      assertThat(second.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).body())
          .asString(StandardCharsets.US_ASCII)
          .isEqualTo("next");
    }
  }
}
