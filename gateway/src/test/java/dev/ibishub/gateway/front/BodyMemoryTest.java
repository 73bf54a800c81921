package dev.ibishub.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.serving.RequestKind;
import dev.ibishub.gateway.callers.CallerMemory;
import dev.ibishub.gateway.callers.CallerMemory.Kind;
import dev.ibishub.gateway.callers.ConnectionMemory;
import dev.ibishub.gateway.model.CallerLimits;
import dev.ibishub.gateway.model.ServingConfiguration;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the memory for bodies, alone and behind an entry's port. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
final class BodyMemoryTest {
  private static final int MEMORY_BYTES = 400_000;
  private static final int LARGE_BODY_BYTES = 200_000;
  private static final int PIECE_BYTES = 10_000;
  private static final int AWAIT_MILLIS = 5_000;

  private final CallerMemory memory = new CallerMemory(() -> MEMORY_BYTES);
  private TestEntry entry;

  @BeforeEach
  void start() throws IOException {
    ServingConfiguration configuration =
        TestEntry.configuration(
            new CallerLimits(4_000, MEMORY_BYTES, 3_000, 60_000),
            TestEntry.route("/read/", RequestKind.IDEMPOTENT));
    entry = new TestEntry(() -> Optional.of(configuration), memory);
  }

  @AfterEach
  void stop() {
    entry.close();
  }

  /** Sends a request's head and the first byte of its body. */
  private Socket begin(String length) throws IOException {
    Socket caller = entry.connect();
    String head = "POST /read/a HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n".formatted(length);
    caller.getOutputStream().write((head + "x").getBytes(StandardCharsets.US_ASCII));
    return caller;
  }

  private void awaitReserved(long bytes) throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AWAIT_MILLIS);
    while (memory.bytes(Kind.BODY) != bytes && System.nanoTime() < deadline) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
    assertThat(memory.bytes(Kind.BODY)).isEqualTo(bytes);
  }

  // Guards against bodies that together fill the heap, so that the process stands still.
  @Test
  void bodyBeyondMemoryIsRejectedAtOnce() throws Exception {
    try (Socket first = begin("Content-Length: " + LARGE_BODY_BYTES)) {
      awaitReserved(LARGE_BODY_BYTES);
      try (Socket second = begin("Content-Length: " + LARGE_BODY_BYTES)) {
        String response =
            new String(second.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);

        assertThat(response).startsWith("HTTP/1.1 503").containsIgnoringCase("retry-after:");
        assertThat(memory.bytes(Kind.BODY)).isEqualTo(LARGE_BODY_BYTES);
      }
    }
    awaitReserved(0);
  }

  // Guards against rejections that callers can't read, as their connection is reset while they
  // send.
  @Test
  void rejectionIsReadAfterTheWholeBodyWasSent() throws Exception {
    try (Socket first = begin("Content-Length: " + LARGE_BODY_BYTES)) {
      awaitReserved(LARGE_BODY_BYTES);
      try (Socket second = begin("Content-Length: " + LARGE_BODY_BYTES)) {
        for (int sent = 1; sent < LARGE_BODY_BYTES; sent += PIECE_BYTES) {
          TimeUnit.MILLISECONDS.sleep(20);
          second.getOutputStream().write(new byte[Math.min(PIECE_BYTES, LARGE_BODY_BYTES - sent)]);
        }

        assertThat(new String(second.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
            .startsWith("HTTP/1.1 503");
      }
    }
  }

  // Guards against a few large bodies that keep out the requests of all other callers.
  @Test
  void smallBodyHasRoomBesideLargeOnes() throws Exception {
    try (Socket large = begin("Content-Length: " + LARGE_BODY_BYTES)) {
      awaitReserved(LARGE_BODY_BYTES);
      assertThat(memory.open(() -> {}).tryReserve(Kind.BODY, 150_000, 150_000)).isFalse();
      try (Socket small = begin("Content-Length: 50000")) {
        awaitReserved(LARGE_BODY_BYTES + 50_000);
      }
    }
    awaitReserved(0);
  }

  // Guards against memory that stays reserved after its requests are over.
  @ParameterizedTest
  @ValueSource(strings = {"Content-Length: 1", "Transfer-Encoding: chunked"})
  void memoryIsFreeOnceRequestsAreOver(String length) throws Exception {
    try (Socket caller = begin(length)) {
      caller.getOutputStream().write("\r\n".getBytes(StandardCharsets.US_ASCII));
      caller.shutdownOutput();
      caller.getInputStream().readAllBytes();
    }
    awaitReserved(0);
  }

  // Guards against a body without a length that grows beyond the memory.
  @Test
  void bodyThatGrowsBeyondMemoryIsRejected() throws Exception {
    try (Socket first = begin("Content-Length: " + LARGE_BODY_BYTES)) {
      awaitReserved(LARGE_BODY_BYTES);
      try (Socket second = entry.connect()) {
        String chunk = "4000\r\n" + "x".repeat(0x4000) + "\r\n";
        String head = "POST /read/a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
        second
            .getOutputStream()
            .write((head + chunk.repeat(7)).getBytes(StandardCharsets.US_ASCII));

        String response =
            new String(second.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);

        assertThat(response).startsWith("HTTP/1.1 503");
      }
      awaitReserved(LARGE_BODY_BYTES);
    }
    awaitReserved(0);
  }

  @Test
  void reservedBytesNeverExceedTheLimit() {
    Random random = new Random(1);
    long[] reserved = new long[100];
    ConnectionMemory connection = memory.open(() -> {});
    Stream.generate(() -> random.nextInt(reserved.length))
        .limit(20_000)
        .forEach(
            body -> {
              long bytes = random.nextInt(20_000);
              if (random.nextBoolean()
                  && connection.tryReserve(Kind.BODY, bytes, reserved[body] + bytes)) {
                reserved[body] += bytes;
              } else if (random.nextInt(10) == 0) {
                connection.release(Kind.BODY, reserved[body]);
                reserved[body] = 0;
              }
              assertThat(memory.bytes(Kind.BODY))
                  .isEqualTo(Arrays.stream(reserved).sum())
                  .isBetween(0L, (long) MEMORY_BYTES);
            });
  }
}
