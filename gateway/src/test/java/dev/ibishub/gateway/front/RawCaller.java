package dev.ibishub.gateway.front;

import dev.ibishub.runtime.MonotonicClock;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;

/**
 * A caller with a raw socket that sends one request and reads until its connection ends. Reads on a
 * thread of its own, so that no peer waits for it.
 */
final class RawCaller implements AutoCloseable {
  private final Socket connection;
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private final CompletableFuture<Received> received;

  /**
   * All that a caller received on its connection.
   *
   * @param isReset whether the connection ended with a reset instead of a close
   */
  @SuppressWarnings("ArrayRecordComponent") // Read by tests, never compared or hashed.
  record Received(byte[] bytes, boolean isReset) {
    private static final String HEAD_END = "\r\n\r\n";

    private String text() {
      return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    /** Returns the status line and the headers of the first response. */
    String head() {
      int end = text().indexOf(HEAD_END);
      return end < 0 ? text() : text().substring(0, end);
    }

    /** Returns the body as far as it came, without framing. */
    String body() {
      String rest = text().substring(Math.min(text().length(), head().length() + 4));
      return isChunked() ? withoutChunkSizes(rest) : rest;
    }

    /**
     * Whether the caller takes this for a complete response, by the framing that the head names.
     */
    boolean isComplete() {
      if (isChunked()) {
        return text().endsWith("\r\n0" + HEAD_END);
      }
      return declaredLength() >= 0 ? body().length() == declaredLength() : !isReset;
    }

    private boolean isChunked() {
      return head().toLowerCase(Locale.ROOT).contains("transfer-encoding: chunked");
    }

    private int declaredLength() {
      return Arrays.stream(head().toLowerCase(Locale.ROOT).split("\r\n"))
          .filter(line -> line.startsWith("content-length: "))
          .mapToInt(line -> Integer.parseInt(line.substring("content-length: ".length())))
          .findFirst()
          .orElse(-1);
    }

    private static String withoutChunkSizes(String chunked) {
      StringBuilder body = new StringBuilder();
      int at = 0;
      for (int lineEnd = chunked.indexOf("\r\n", at); lineEnd >= 0; ) {
        int size = Integer.parseInt(chunked.substring(at, lineEnd), 16);
        int from = lineEnd + 2;
        body.append(chunked, from, Math.min(chunked.length(), from + size));
        at = Math.min(chunked.length(), from + size + 2);
        lineEnd = chunked.indexOf("\r\n", at);
      }
      return body.toString();
    }
  }

  private RawCaller(Socket connection) {
    this.connection = connection;
    this.received = CompletableFuture.supplyAsync(this::readAll);
  }

  /** Sends a request. */
  static RawCaller send(InetSocketAddress to, String request) throws IOException {
    Socket connection = new Socket(to.getAddress(), to.getPort());
    connection.setSoTimeout(TestEntry.TIMEOUT_MILLIS);
    connection.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
    connection.getOutputStream().flush();
    return new RawCaller(connection);
  }

  private Received readAll() {
    byte[] buffer = new byte[1 << 16];
    boolean isReset = false;
    try {
      for (int count = 0; count >= 0; count = connection.getInputStream().read(buffer)) {
        add(buffer, count);
      }
    } catch (SocketTimeoutException e) {
      throw new UncheckedIOException("the entry neither wrote nor closed the connection", e);
    } catch (IOException e) {
      isReset = true;
    }
    return new Received(bytes.toByteArray(), isReset);
  }

  private synchronized void add(byte[] buffer, int count) {
    bytes.write(buffer, 0, count);
    notifyAll();
  }

  /** Waits until the body so far ends with a text. */
  synchronized void awaitEnd(String text) throws InterruptedException {
    long deadline = MonotonicClock.millis() + TestEntry.TIMEOUT_MILLIS;
    while (!new Received(bytes.toByteArray(), false).body().endsWith(text)) {
      long left = deadline - MonotonicClock.millis();
      if (left <= 0) {
        throw new IllegalStateException("only got " + bytes.size() + " bytes of a response");
      }
      wait(left);
    }
  }

  /**
   * Waits until the connection has ended.
   *
   * @throws java.util.concurrent.CompletionException if nothing happens on it for long
   */
  Received await() {
    return received.join();
  }

  @Override
  public void close() throws IOException {
    connection.close();
  }
}
