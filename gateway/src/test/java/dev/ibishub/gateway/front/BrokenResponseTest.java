package dev.ibishub.gateway.front;

import static dev.ibishub.gateway.front.TestEntry.TIMEOUT_MILLIS;
import static dev.ibishub.gateway.front.TestEntry.route;
import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.serving.RequestKind;
import dev.ibishub.gateway.model.CallerLimits;
import dev.ibishub.runtime.MonotonicClock;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what callers get when a target breaks off its response. */
final class BrokenResponseTest {
  /** Size up to which a response is passed on only once it is complete, bytes. */
  private static final int BUFFERED_BYTES = 256 << 10;

  private static final int WHOLE_BYTES = 400_000;
  private static final int LONGER_THAN_RETRY_DELAY_MILLIS = 600;

  /** Less than the entry waits for a connection to a target whose queue is full. */
  private static final int LESS_THAN_CRASH_CHECK_MILLIS = 60;

  private static final String SIGNED = "HTTP/1.1 200 OK\r\nsigned: 1\r\n";
  private static final String STREAM = SIGNED + "Content-Type: text/event-stream\r\n\r\n";
  private static final String FIRST = "a".repeat(WHOLE_BYTES);
  private static final String SECOND = "b".repeat(WHOLE_BYTES);

  private final TestEntry entry =
      TestEntry.start(
          CallerLimits.DEFAULTS,
          route("/any/", RequestKind.IDEMPOTENT),
          route("/short/", RequestKind.IDEMPOTENT, LESS_THAN_CRASH_CHECK_MILLIS),
          route("/stream/", RequestKind.RESUMABLE_STREAM),
          route("/unrepeatable/", RequestKind.STREAM));
  private ServerSocket target;

  /** How a target marks the end of its response's body. */
  private enum Framing {
    LENGTH,
    CHUNKED,
    CLOSE;

    /** Returns a response whose body ends early after some bytes of it. */
    String response(String body, int bytes) {
      String part = body.substring(0, bytes);
      return switch (this) {
        case LENGTH -> SIGNED + "Content-Length: " + body.length() + "\r\n\r\n" + part;
        case CHUNKED ->
            SIGNED
                + "Transfer-Encoding: chunked\r\n\r\n"
                + chunk(part)
                + (bytes == body.length() ? chunk("") : "");
        case CLOSE -> SIGNED + "\r\n" + part;
      };
    }

    private static String chunk(String data) {
      return Integer.toHexString(data.length()) + "\r\n" + data + "\r\n";
    }
  }

  @BeforeEach
  void announceTarget() throws IOException {
    target = entry.announce("t");
  }

  @AfterEach
  void stop() throws IOException {
    entry.close();
    target.close();
  }

  private RawCaller call(String path) throws IOException {
    return call(path, "HTTP/1.1");
  }

  private RawCaller call(String path, String version) throws IOException {
    return RawCaller.send(
        entry.address(),
        "GET " + path + " " + version + "\r\nHost: h\r\nConnection: close\r\n\r\n");
  }

  /** Waits until the entry has noticed that all its attempts at a target ended. */
  private void awaitNoAttemptAt(String id) throws InterruptedException {
    long deadline = MonotonicClock.millis() + TIMEOUT_MILLIS;
    while (hasAttemptAt(id)) {
      assertThat(MonotonicClock.millis()).as("attempt at %s", id).isLessThan(deadline);
      Thread.sleep(1);
    }
  }

  private boolean hasAttemptAt(String id) {
    return entry.targets().usable("s").stream()
        .filter(each -> each.target().id().equals(id))
        .anyMatch(each -> each.load().requests(MonotonicClock.millis(), 1) > 0);
  }

  /** Accepts an attempt and reads its request. */
  private static Socket accept(ServerSocket at) throws IOException {
    Socket accepted = at.accept();
    accepted.setSoTimeout(TIMEOUT_MILLIS);
    readHead(accepted);
    return accepted;
  }

  private static String readHead(Socket accepted) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = accepted.getInputStream().read();
      assertThat(next).as("the request ended early").isNotNegative();
      head.append((char) next);
    }
    return head.toString();
  }

  private static void write(Socket accepted, String bytes) throws IOException {
    accepted.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    accepted.getOutputStream().flush();
  }

  /** Writes a response that the entry may stop reading once it knows that it won't pass it on. */
  private static void writeUntilClosed(Socket accepted, String bytes) {
    try {
      write(accepted, bytes);
    } catch (IOException e) {
      // The entry closed the connection.
    }
  }

  private static void reset(Socket accepted) throws IOException {
    accepted.setSoLinger(true, 0);
    accepted.close();
  }

  private static void end(Socket accepted, Framing framing) throws IOException {
    if (framing == Framing.CLOSE) {
      reset(accepted);
    } else {
      accepted.close();
    }
  }

  private static boolean hasRequest(ServerSocket at) throws IOException {
    return hasRequestWithin(at, 1);
  }

  private static boolean hasRequestWithin(ServerSocket at, int millis) throws IOException {
    at.setSoTimeout(millis);
    try (Socket accepted = at.accept()) {
      return true;
    } catch (SocketTimeoutException e) {
      return false;
    }
  }

  private static Stream<Arguments> framingsAndSizes() {
    return Stream.of(Framing.values())
        .flatMap(
            framing ->
                Stream.of(1, BUFFERED_BYTES - 1, BUFFERED_BYTES)
                    .map(bytes -> Arguments.of(framing, bytes)));
  }

  // Guards against a request that fails although nothing of its first response was passed on.
  @ParameterizedTest
  @MethodSource("framingsAndSizes")
  void smallPartIsReplacedByAnotherTargetsWholeResponse(Framing framing, int bytes)
      throws IOException {
    try (RawCaller caller = call("/any/x");
        Socket first = accept(target);
        ServerSocket other = entry.announce("u")) {
      write(first, framing.response(FIRST, bytes));
      end(first, framing);
      try (Socket second = accept(other)) {
        write(second, framing.response(SECOND, WHOLE_BYTES));
      }

      RawCaller.Received received = caller.await();
      assertThat(received.isComplete()).isTrue();
      assertThat(received.body()).isEqualTo(SECOND);
    }
  }

  // Guards against a response that is joined from two targets' responses and looks complete.
  @ParameterizedTest
  @EnumSource(Framing.class)
  void largePartIsCutAndNotJoinedWithAnotherTargetsResponse(Framing framing)
      throws IOException, InterruptedException {
    try (RawCaller caller = call("/any/x");
        Socket first = accept(target);
        ServerSocket other = entry.announce("u")) {
      write(first, framing.response(FIRST, BUFFERED_BYTES + 1));
      caller.awaitEnd("a");
      end(first, framing);

      assertThat(caller.await().isComplete()).isFalse();
      assertThat(caller.await().body()).isEqualTo(FIRST.substring(0, BUFFERED_BYTES + 1));
      assertThat(hasRequest(other)).isFalse();
    }
  }

  // Guards against a caller of HTTP/1.0 that takes the part before the cut for the whole response.
  @ParameterizedTest
  @EnumSource(Framing.class)
  void largePartIsNotCompleteForCallerWithoutChunks(Framing framing)
      throws IOException, InterruptedException {
    try (RawCaller caller = call("/any/x", "HTTP/1.0");
        Socket first = accept(target)) {
      write(first, framing.response(FIRST, BUFFERED_BYTES + 1));
      caller.awaitEnd("a");
      end(first, framing);

      assertThat(caller.await().isComplete()).isFalse();
    }
  }

  // Guards against a complete response that is reset because a cut one would be.
  @ParameterizedTest
  @EnumSource(Framing.class)
  void largeWholeResponseIsCompleteForCallerWithoutChunks(Framing framing) throws IOException {
    try (RawCaller caller = call("/any/x", "HTTP/1.0");
        Socket first = accept(target)) {
      write(first, framing.response(FIRST, WHOLE_BYTES));
      first.close();

      assertThat(caller.await().isComplete()).isTrue();
      assertThat(caller.await().body()).isEqualTo(FIRST);
    }
  }

  // Guards against two hedged attempts whose bodies are mixed, as both targets begin at once.
  @Test
  void onlyOneOfTwoHedgedResponsesIsPassedOn() throws IOException {
    try (RawCaller caller = call("/any/x");
        Socket first = accept(target);
        ServerSocket other = entry.announce("u");
        Socket second = accept(other)) {
      writeUntilClosed(first, Framing.LENGTH.response(FIRST, WHOLE_BYTES));
      writeUntilClosed(second, Framing.LENGTH.response(SECOND, WHOLE_BYTES));

      assertThat(caller.await().isComplete()).isTrue();
      assertThat(caller.await().body()).isIn(FIRST, SECOND);
    }
  }

  // Guards against two attempts at once after a failure: one waits for its time, and the other for
  // the check whether its request crashed the first target.
  @Test
  void requestIsSentAgainOnceAfterBothHedgedAttemptsFailed()
      throws IOException, InterruptedException {
    try (ServerSocket busy = entry.announce("b", 1)) {
      entry.targets().onDropped("t", 0, MonotonicClock.millis());
      try (RawCaller caller = call("/any/x");
          Socket first = accept(busy);
          ServerSocket other = entry.announce("u");
          Socket second = accept(other);
          Socket inQueue = new Socket(TestEntry.LOOPBACK, busy.getLocalPort());
          Socket alsoInQueue = new Socket(TestEntry.LOOPBACK, busy.getLocalPort())) {
        first.close();
        awaitNoAttemptAt("b");
        entry.targets().onDropped("b", 0, MonotonicClock.millis());
        write(second, "HTTP/1.1 503 Busy\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n");
        try (Socket third = accept(other)) {
          assertThat(inQueue.isConnected() && alsoInQueue.isConnected()).isTrue();
          assertThat(hasRequestWithin(other, LONGER_THAN_RETRY_DELAY_MILLIS)).isFalse();
          write(third, Framing.LENGTH.response(SECOND, WHOLE_BYTES));
        }

        assertThat(caller.await().isComplete()).isTrue();
        assertThat(caller.await().body()).isEqualTo(SECOND);
      }
    }
  }

  // Guards against a second response after the deadline's, from the retry that the check whether
  // the first target crashed had held back.
  @Test
  void deadlineDuringCrashCheckEndsRequest() throws IOException {
    try (ServerSocket busy = entry.announce("b", 1)) {
      entry.targets().onDropped("t", 0, MonotonicClock.millis());
      try (RawCaller caller = call("/short/x");
          Socket first = accept(busy);
          ServerSocket other = entry.announce("u");
          Socket inQueue = new Socket(TestEntry.LOOPBACK, busy.getLocalPort());
          Socket alsoInQueue = new Socket(TestEntry.LOOPBACK, busy.getLocalPort())) {
        first.close();

        assertThat(caller.await().head()).startsWith("HTTP/1.1 504 ");
        assertThat(caller.await().isComplete()).isTrue();
        assertThat(inQueue.isConnected() && alsoInQueue.isConnected()).isTrue();
        assertThat(hasRequestWithin(other, LONGER_THAN_RETRY_DELAY_MILLIS)).isFalse();
      }
    }
  }

  // Guards against a second attempt's response behind the part of the one that began first.
  @Test
  void hedgedResponseThatBreaksOffIsNotJoinedWithTheOther()
      throws IOException, InterruptedException {
    try (RawCaller caller = call("/any/x");
        Socket first = accept(target);
        ServerSocket other = entry.announce("u");
        Socket second = accept(other)) {
      write(second, Framing.CHUNKED.response(SECOND, BUFFERED_BYTES + 1));
      caller.awaitEnd("b");
      second.close();

      assertThat(caller.await().isComplete()).isFalse();
      assertThat(caller.await().body()).isEqualTo(SECOND.substring(0, BUFFERED_BYTES + 1));
      assertThat(first.getInputStream().read()).isEqualTo(-1);
    }
  }

  // Guards against events of two runs in one stream, where nothing says at which event the second
  // one begins: the route's streams can't be resumed, or the last event has no id.
  @ParameterizedTest
  @CsvSource({
    "/any/x, 'id: 1\ndata: x\n\n'",
    "/unrepeatable/x, 'id: 1\ndata: x\n\n'",
    "/stream/x, 'data: x\n\n'",
    "/stream/x, 'id: 1\ndata: x\n\ndata: y\n\n'"
  })
  void streamThatNoTargetCanResumeIsCut(String path, String events)
      throws IOException, InterruptedException {
    try (RawCaller caller = call(path);
        Socket first = accept(target);
        ServerSocket other = entry.announce("u")) {
      write(first, STREAM + events);
      caller.awaitEnd(events);
      reset(first);

      assertThat(caller.await().isComplete()).isFalse();
      assertThat(caller.await().body()).isEqualTo(events);
      assertThat(hasRequest(other)).isFalse();
    }
  }

  // Guards against a second response behind a part of the first one: a target that is to resume a
  // stream answers with something else.
  @ParameterizedTest
  @MethodSource("responsesThatResumeNothing")
  void responseThatDoesNotResumeTheStreamIsNotPassedOn(String response)
      throws IOException, InterruptedException {
    try (RawCaller caller = call("/stream/x");
        Socket first = accept(target);
        ServerSocket other = entry.announce("u")) {
      write(first, STREAM + "id: 1\ndata: x\n\n");
      caller.awaitEnd("data: x\n\n");
      reset(first);
      try (Socket second = accept(other)) {
        writeUntilClosed(second, response);
      }

      assertThat(caller.await().isComplete()).isFalse();
      assertThat(caller.await().body()).isEqualTo("id: 1\ndata: x\n\n");
    }
  }

  private static Stream<String> responsesThatResumeNothing() {
    return Stream.of(
        Framing.LENGTH.response("small", 5),
        Framing.LENGTH.response(SECOND, WHOLE_BYTES),
        Framing.CHUNKED.response(SECOND, WHOLE_BYTES),
        "HTTP/1.1 304 Same\r\nsigned: 1\r\n\r\n",
        STREAM.replace("200", "000") + "id: 1\ndata: x\n\nid: 2\ndata: z\n\n",
        STREAM.replace("200", "099") + "id: 1\ndata: x\n\nid: 2\ndata: z\n\n",
        STREAM.replace("200", "600") + "id: 1\ndata: x\n\nid: 2\ndata: z\n\n",
        STREAM + "data: y\n\n",
        STREAM + "data: y\n\nid: 2\ndata: z\n\n",
        STREAM + "id: 3\ndata: z\n\n");
  }

  // Guards against a resumable stream that is cut although another target goes on with it.
  @ParameterizedTest
  @ValueSource(strings = {"id: 1\ndata: x\n\n", "id: 1\ndata: x\n\n: alive\n\n"})
  void resumableStreamGoesOnAtAnotherTarget(String events)
      throws IOException, InterruptedException {
    try (RawCaller caller = call("/stream/x");
        Socket first = accept(target);
        ServerSocket other = entry.announce("u")) {
      write(first, STREAM + events);
      caller.awaitEnd(events);
      reset(first);
      try (Socket second = other.accept()) {
        second.setSoTimeout(TIMEOUT_MILLIS);
        assertThat(readHead(second)).contains("after: 1\r\n");
        write(second, STREAM + "id: 1\ndata: x\n\nid: 2\ndata: y\n\n");
      }

      assertThat(caller.await().isComplete()).isTrue();
      assertThat(caller.await().body()).isEqualTo(events + "id: 2\ndata: y\n\n");
    }
  }

  // Guards against a caller of HTTP/1.0 that takes a stream that was cut for one that ended.
  @Test
  void cutStreamIsNotCompleteForCallerWithoutChunks() throws IOException, InterruptedException {
    try (RawCaller caller = call("/any/x", "HTTP/1.0");
        Socket first = accept(target)) {
      write(first, STREAM + "id: 1\ndata: x\n\n");
      caller.awaitEnd("data: x\n\n");
      reset(first);

      assertThat(caller.await().isComplete()).isFalse();
    }
  }
}
