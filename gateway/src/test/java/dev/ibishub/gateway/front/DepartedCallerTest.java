package dev.ibishub.gateway.front;

import static dev.ibishub.gateway.front.TestEntry.TIMEOUT_MILLIS;
import static dev.ibishub.gateway.front.TestEntry.route;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.ibishub.core.serving.RequestKind;
import dev.ibishub.core.serving.crashes.CrashFindings;
import dev.ibishub.core.serving.crashes.CrashedRun;
import dev.ibishub.core.serving.crashes.RequestIdentity;
import dev.ibishub.core.serving.crashes.RequestTraits;
import dev.ibishub.gateway.membership.PeerMesh;
import dev.ibishub.gateway.model.CallerLimits;
import dev.ibishub.runtime.MonotonicClock;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what becomes of requests whose callers leave, with raw sockets on both sides. */
final class DepartedCallerTest {
  /** Far more than the half second within which a run has to end. */
  private static final int LONG_MILLIS = 5_000;

  /** Time in which a further send would come, milliseconds. */
  private static final int FURTHER_SEND_MILLIS = 1_000;

  private static final int MAXIMUM_BODY_BYTES = 1 << 20;
  private static final String REQUEST = "GET /any/x HTTP/1.1\r\nHost: h\r\n\r\n";
  private static final String STREAM_REQUEST = "GET /stream/x HTTP/1.1\r\nHost: h\r\n\r\n";
  private static final String STREAM_HEAD =
      "HTTP/1.1 200 OK\r\nsigned: 1\r\nContent-Type: text/event-stream\r\n\r\n";

  private final TestEntry entry =
      TestEntry.start(
          new CallerLimits(4_000, MAXIMUM_BODY_BYTES, 3_000, 60_000),
          route("/any/", RequestKind.IDEMPOTENT),
          route("/once/", RequestKind.ONCE),
          route("/stream/", RequestKind.RESUMABLE_STREAM));
  private ServerSocket target;

  @BeforeEach
  void announceTarget() throws IOException {
    target = entry.announce("t");
  }

  @AfterEach
  void stop() throws IOException {
    entry.close();
    target.close();
  }

  private Socket send(String bytes) throws IOException {
    Socket caller = new Socket(TestEntry.LOOPBACK, entry.address().getPort());
    caller.setSoTimeout(TIMEOUT_MILLIS);
    write(caller, bytes);
    return caller;
  }

  private static void write(Socket socket, String bytes) throws IOException {
    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  /** Accepts an attempt and reads its request. */
  private static Socket accept(ServerSocket at) throws IOException {
    Socket accepted = at.accept();
    accepted.setSoTimeout(LONG_MILLIS);
    readHead(accepted);
    return accepted;
  }

  private static String readHead(Socket socket) throws IOException {
    StringBuilder head = new StringBuilder();
    for (int next = socket.getInputStream().read();
        next >= 0;
        next = socket.getInputStream().read()) {
      head.append((char) next);
      if (head.indexOf("\r\n\r\n") >= 0) {
        break;
      }
    }
    return head.toString();
  }

  private static void leave(Socket caller, boolean isReset) throws IOException {
    if (isReset) {
      caller.setSoLinger(true, 0);
    }
    caller.close();
  }

  private static void assertEnded(Socket running) throws IOException {
    assertThat(isEnded(running)).as("the run was cancelled").isTrue();
  }

  private static boolean isEnded(Socket running) throws IOException {
    try {
      while (running.getInputStream().read() >= 0) {
        // The rest of a request.
      }
      return true;
    } catch (SocketTimeoutException e) {
      return false;
    } catch (IOException e) {
      return true;
    }
  }

  private static void assertNoFurtherSend(ServerSocket at) throws IOException {
    at.setSoTimeout(FURTHER_SEND_MILLIS);
    try (Socket further = at.accept()) {
      further.setSoTimeout(LONG_MILLIS);
      assertThat(readHead(further)).as("a further send").isEmpty();
    } catch (SocketTimeoutException e) {
      // Nothing was sent.
    }
  }

  private static Stream<Arguments> bytesBehindRequest() {
    String post = "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n";
    int half = MAXIMUM_BODY_BYTES / 2;
    return Stream.of(
            "",
            REQUEST,
            REQUEST.repeat(8),
            REQUEST.repeat(19),
            REQUEST.repeat(2_000),
            post.formatted(half) + "x".repeat(half),
            (post.formatted(half) + "x".repeat(half)).repeat(4),
            post.formatted(MAXIMUM_BODY_BYTES + 1) + "x".repeat(half),
            "nonsense\r\n\r\n" + "x".repeat(half))
        .flatMap(bytes -> Stream.of(false, true).map(isReset -> Arguments.of(bytes, isReset)));
  }

  // Guards against a run that goes on as the close of its caller is not read behind what the
  // caller had sent before.
  @ParameterizedTest
  @MethodSource("bytesBehindRequest")
  void runEndsWhateverItsCallerSentBeforeItLeft(String behind, boolean isReset) throws IOException {
    Socket caller = send(REQUEST);
    try (Socket running = accept(target)) {
      write(caller, behind);
      leave(caller, isReset);

      assertEnded(running);
      assertNoFurtherSend(target);
    }
  }

  // Guards against a caller that takes the status of a request that was rejected for that of an
  // earlier one, which runs.
  @ParameterizedTest
  @CsvSource({
    "'nonsense\r\n\r\n', 400",
    "'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1048577\r\n\r\n', 413"
  })
  void rejectionFollowsResponsesToEarlierRequests(String rejected, int status) throws IOException {
    try (Socket caller = send(REQUEST + REQUEST + rejected)) {
      for (int earlier = 0; earlier < 2; earlier++) {
        try (Socket running = accept(target)) {
          write(running, "HTTP/1.1 200 OK\r\nsigned: 1\r\nContent-Length: 4\r\n\r\ngood");
        }
      }

      String responses =
          new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      assertThat(responses).startsWith("HTTP/1.1 200 ").containsOnlyOnce("HTTP/1.1 " + status);
      assertThat(responses.indexOf("HTTP/1.1 " + status))
          .isGreaterThan(responses.lastIndexOf("good"));
    }
  }

  // Guards against requests in a row that are lost, or of which too many are kept.
  @Test
  void requestsBeyondThePipelineAreRefusedAfterTheOthersAreServed() throws IOException {
    int sent = 40;
    try (Socket caller = send(REQUEST.repeat(sent))) {
      int served = 0;
      target.setSoTimeout(FURTHER_SEND_MILLIS);
      try {
        while (served < sent) {
          try (Socket running = accept(target)) {
            write(running, "HTTP/1.1 200 OK\r\nsigned: 1\r\nContent-Length: 4\r\n\r\ngood");
            served++;
          }
        }
      } catch (SocketTimeoutException e) {
        // The others were refused.
      }

      String responses =
          new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      assertThat(served).isBetween(8, sent - 1);
      assertThat(responses.split("HTTP/1.1 200 ", -1)).hasSize(served + 1);
      assertThat(responses.substring(responses.lastIndexOf("HTTP/1.1 ")))
          .startsWith("HTTP/1.1 503 ")
          .containsIgnoringCase("retry-after")
          .containsIgnoringCase("connection: close");
    }
  }

  // Guards against requests that are sent to targets although their callers have left, as the
  // entry stood still and reads request and close together.
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void requestIsNotSentIfItsCallerLeftWhileTheEntryStoodStill(boolean isReset)
      throws IOException, InterruptedException {
    Socket caller = send("");
    Runnable release = entry.holdLoop();
    write(caller, REQUEST);
    leave(caller, isReset);
    release.run();

    target.setSoTimeout(FURTHER_SEND_MILLIS);
    assertThatThrownBy(target::accept).isInstanceOf(SocketTimeoutException.class);
  }

  private static Stream<Set<TestEntry.Collaborator>> failingCollaborators() {
    return Stream.concat(
        Arrays.stream(TestEntry.Collaborator.values()).map(Set::of),
        Stream.of(Set.of(TestEntry.Collaborator.values())));
  }

  // Guards against runs that go on, for good, as something that only accompanies their cancel
  // fails, such as the report to other entries on a target that crashed.
  @ParameterizedTest
  @MethodSource("failingCollaborators")
  void runsEndAlthoughWhatAccompaniesTheirCancelFails(Set<TestEntry.Collaborator> failing)
      throws IOException {
    Socket caller = send(REQUEST);
    try (Socket running = accept(target);
        ServerSocket other = entry.announce("u");
        Socket hedged = accept(other)) {
      entry.crashes().onIncarnationEnded(entry.incarnation("t"));
      entry.fail(failing);
      caller.close();

      assertEnded(running);
      assertEnded(hedged);
    }
  }

  // Guards against a run that goes on, for good, as a hedged request could not be sent.
  @Test
  void runEndsAlthoughItsHedgeCouldNotBeSent() throws IOException, InterruptedException {
    Socket caller = send(REQUEST);
    try (Socket running = accept(target);
        ServerSocket other = entry.announce("u")) {
      entry.fail(Set.of(TestEntry.Collaborator.TARGET_HEADERS));
      Thread.sleep(FURTHER_SEND_MILLIS);
      caller.close();

      assertEnded(running);
      assertNoFurtherSend(other);
    }
  }

  // Guards against a caller that waits for a request which could not be started.
  @Test
  void connectionIsClosedIfItsRequestCannotBeStarted() throws IOException {
    entry.fail(Set.of(TestEntry.Collaborator.STOP_PLAN));
    try (Socket caller = send(REQUEST)) {
      caller.setSoTimeout(LONG_MILLIS);

      assertEnded(caller);
    }
  }

  /** Returns what entries report of four crashes under one part, with three others beside it. */
  private static CrashFindings crashesWithManySuspects(long now) {
    List<List<String>> parts =
        List.of(
            List.of("p", "b", "c"),
            List.of("p", "a", "c"),
            List.of("p", "a", "b"),
            List.of("p", "a", "b", "c"));
    long firstSentAt = now - 60_000;
    List<CrashedRun> runs =
        IntStream.range(0, parts.size())
            .boxed()
            .flatMap(
                crash -> {
                  long brokenAt = firstSentAt + 1_000 + crash * 1_000L;
                  return Stream.of(
                      crashedRun(crash, List.of("p"), brokenAt - 300, brokenAt),
                      crashedRun(crash, parts.get(crash), firstSentAt, brokenAt));
                })
            .toList();
    return new CrashFindings(runs, List.of(), List.of(), List.of());
  }

  private static CrashedRun crashedRun(int crash, List<String> parts, long sentAt, long brokenAt) {
    RequestIdentity identity = RequestIdentity.of("/" + crash + parts, "", ByteBuffer.allocate(0));
    return new CrashedRun(
        new RequestTraits("s", "", identity, parts), "crashed" + crash, sentAt, brokenAt);
  }

  // Guards against runs that go on as the entry stands still, with a decision on the parts of
  // prompts that crash targets which never ends.
  @Test
  void runEndsAfterDecisionOnCrashesWithManySuspects() throws IOException {
    Socket caller = send(REQUEST);
    try (Socket running = accept(target)) {
      long now = MonotonicClock.millis();
      entry
          .crashes()
          .onReport(
              CrashMessages.frame(crashesWithManySuspects(now), now).getCrashReport(),
              new PeerMesh.Sender(reply -> {}, forwarded -> {}));
      IntStream.range(0, 20).forEach(any -> entry.crashes().onAnswerBegun("s", Set.of(), now));
      Socket other = send(STREAM_REQUEST);
      caller.close();

      assertEnded(running);
      other.close();
    }
  }

  // Guards against a run of a stream that its caller doesn't read.
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void runEndsAlthoughItsCallerReadNothing(boolean isReset) throws IOException {
    Socket caller = send(STREAM_REQUEST);
    try (Socket running = accept(target)) {
      write(running, STREAM_HEAD);
      String event = "data: " + "x".repeat(1 << 16) + "\n\n";
      fill(running, event);
      leave(caller, isReset);

      assertEnded(running);
    }
  }

  /** Writes until the entry has stopped reading. */
  private static void fill(Socket running, String event) throws IOException {
    Thread writer =
        new Thread(
            () -> {
              try {
                for (int count = 0; count < 400; count++) {
                  write(running, event);
                }
              } catch (IOException e) {
                // The entry closed the connection.
              }
            });
    writer.setDaemon(true);
    writer.start();
    try {
      writer.join(FURTHER_SEND_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  // Guards against a hedged request of which one run goes on.
  @Test
  void bothRunsOfHedgedRequestEnd() throws IOException {
    Socket caller = send(REQUEST);
    try (Socket first = accept(target);
        ServerSocket other = entry.announce("u");
        Socket second = accept(other)) {
      caller.close();

      assertEnded(first);
      assertEnded(second);
      assertNoFurtherSend(target);
      assertNoFurtherSend(other);
    }
  }

  // Guards against a retry after the caller has left while the check whether the first target
  // crashed is under way.
  @Test
  void requestIsNotSentAgainAfterItsCallerLeft() throws IOException {
    Socket caller = send(STREAM_REQUEST);
    try (Socket first = accept(target);
        ServerSocket other = entry.announce("u")) {
      caller.close();
      first.close();

      assertNoFurtherSend(other);
      assertNoFurtherSend(target);
    }
  }

  // Guards against a retry after the caller has left while the pause before the retry lasts. The
  // first retry after a refusal has no pause.
  @Test
  void requestIsNotSentAgainAfterItsCallerLeftInPause() throws IOException {
    String refusal = "HTTP/1.1 503 Busy\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";
    Socket caller = send(STREAM_REQUEST);
    try (Socket first = accept(target);
        ServerSocket other = entry.announce("u")) {
      write(first, refusal);
      try (Socket second = accept(other)) {
        write(second, refusal);
        caller.close();

        assertNoFurtherSend(other);
        assertNoFurtherSend(target);
      }
    }
  }

  // Guards against a run that starts after its caller left, as a connection was under way.
  @Test
  void requestIsNotSentOverConnectionThatComesAfterItsCallerLeft()
      throws IOException, InterruptedException {
    try (ServerSocket full = entry.announce("b", 1)) {
      entry.targets().onDropped("t", 0, 0);
      try (Socket inQueue = new Socket(TestEntry.LOOPBACK, full.getLocalPort());
          Socket alsoInQueue = new Socket(TestEntry.LOOPBACK, full.getLocalPort())) {
        Socket caller = send(STREAM_REQUEST);
        Thread.sleep(100);
        caller.close();
        full.accept().close();
        full.accept().close();

        assertNoFurtherSend(full);
        assertThat(inQueue.isConnected() && alsoInQueue.isConnected()).isTrue();
      }
    }
  }
}
