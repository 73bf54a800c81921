package dev.ibishub.node;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.platform.standins.Deployment;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Stops entry processes whose callers read slowly, or nothing. */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
final class StopWithSlowReadersTest {
  /** Less than an entry holds back until a response is complete. */
  private static final int BODY_BYTES = 200_000;

  /** As many requests as may wait; their responses are more than the system buffers. */
  private static final int REQUESTS = 30;

  private static final int RECEIVE_BUFFER_BYTES = 4_096;
  private static final Duration GRACE = Duration.ofSeconds(10);

  /** Longer than callers may use the address of an entry that stops. */
  private static final Duration BEFORE_READING = Duration.ofSeconds(7);

  private static final String HANDED_OVER = "\"unwritten_responses\":\"1\"";

  private Deployment deployment;

  @BeforeEach
  void start() throws IOException, InterruptedException {
    deployment = new Deployment(Deployment.Programs.onThisClassPath(NodeMain.class.getName()));
    deployment.publish(3, "pages", "key-1");
    deployment.startTarget("i-1", "127.0.0.1", "pages").setBodyBytes(BODY_BYTES);
    deployment.startEntry(
        "entry-1", "127.0.1.1", "127.0.1.1", ",\"graceSeconds\":" + GRACE.toSeconds());
    deployment.await("an entry that serves", () -> status() == 200);
  }

  @AfterEach
  void stop() {
    deployment.close();
  }

  private int status() throws IOException, InterruptedException {
    return deployment.call("entry-1", "GET", "/page/1", "key-1").statusCode();
  }

  /** Connects and sends requests without reading any response. */
  private Socket sendRequests() throws IOException {
    Socket caller = new Socket();
    caller.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    caller.connect(SocketAddresses.parse(deployment.callerAddress("entry-1")));
    for (int request = 0; request < REQUESTS; request++) {
      String head =
          """
          GET /page/%d HTTP/1.1\r
          Host: h.example\r
          X-Api-Key: key-1\r
          X-Attempt-Id: a%d\r
          \r
          """;
      caller
          .getOutputStream()
          .write(head.formatted(request, request).getBytes(StandardCharsets.US_ASCII));
    }
    return caller;
  }

  private Instant signalStop() throws InterruptedException {
    // Until the system's buffers are full.
    TimeUnit.SECONDS.sleep(2);
    Instant signalledAt = Instant.now();
    deployment.process("entry-1").destroy();
    return signalledAt;
  }

  /** Reads responses until the connection ends; fails if one of them is not whole. */
  private static int readWholeResponses(Socket caller) throws IOException {
    InputStream responses = new BufferedInputStream(caller.getInputStream());
    int whole = 0;
    for (String line = readLine(responses); !line.isEmpty(); line = readLine(responses)) {
      assertThat(line).startsWith("HTTP/1.1 ");
      int length = 0;
      for (line = readLine(responses); !line.isEmpty(); line = readLine(responses)) {
        if (line.toLowerCase(Locale.ROOT).startsWith("content-length: ")) {
          length = Integer.parseInt(line.substring(line.indexOf(' ') + 1));
        }
      }
      assertThat(responses.readNBytes(length)).as("response %d", whole).hasSize(length);
      whole++;
    }
    return whole;
  }

  private static String readLine(InputStream responses) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = responses.read(); next >= 0 && next != '\n'; next = responses.read()) {
      line.append((char) next);
    }
    return line.toString().strip();
  }

  // Guards against a planned stop that drops the end of a response whose caller reads slowly.
  @Test
  void stopWaitsUntilResponsesAreWritten() throws Exception {
    try (Socket caller = sendRequests()) {
      signalStop();
      Thread.sleep(BEFORE_READING.toMillis());

      assertThat(readWholeResponses(caller)).isPositive();
    }
    assertThat(deployment.process("entry-1").waitFor(GRACE.toSeconds(), TimeUnit.SECONDS)).isTrue();
    assertThat(deployment.logOf("entry-1")).contains(HANDED_OVER);
  }

  // Guards against a caller who reads nothing and thereby has the process killed.
  @Test
  void callerWhoReadsNothingHoldsStopNoLongerThanGracePeriod() throws Exception {
    try (Socket caller = sendRequests()) {
      Instant signalledAt = signalStop();

      assertThat(deployment.process("entry-1").waitFor(60, TimeUnit.SECONDS)).isTrue();
      assertThat(Duration.between(signalledAt, Instant.now())).isLessThan(GRACE);
      assertThat(caller.isClosed()).isFalse();
    }
    assertThat(deployment.process("entry-1").exitValue()).isZero();
    assertThat(deployment.logOf("entry-1")).contains(HANDED_OVER);
  }
}
