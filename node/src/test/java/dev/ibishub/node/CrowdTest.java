package dev.ibishub.node;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.node.Crowd.Behavior;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Plays crowds of clients that don't read, or don't end what they send, at an entry or agent
 * process. Checks that the processes live within their memory and descriptors, and that ordinary
 * requests are answered, also while the crowd is there.
 */
@Timeout(value = 240, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
final class CrowdTest {
  /** Any step of a reservation but the attempt itself, which doesn't wait. */
  private static final Pattern WAIT_FOR_MEMORY =
      Pattern.compile("(?<!tryReserveMemory) < java\\.nio\\.Bits\\.reserveMemory");

  private static final long CROWD_MILLIS = 5_000;

  private static final String UNREAD_EVENTS = "/stream/events/40/100000/";
  private static final String DIRECTORY = "/ibishub/resolution?name=h.example&region=r&zone=z1";
  private static final int LARGE_BODY_BYTES = 4_000_000;
  private static final int MOST_OF_A_FRAME_BYTES = 1 << 20;

  private CrowdedEntry entry;

  @BeforeEach
  void start() throws IOException, InterruptedException {
    entry = new CrowdedEntry();
  }

  @AfterEach
  void stop() {
    entry.close();
  }

  /**
   * Keeps a crowd for a time and checks the entry meanwhile and after it has left.
   *
   * @param limits events of limits of which at least one must have applied, as otherwise the crowd
   *     has not reached the entry's own buffers
   */
  private void assertBorne(Crowd crowd, String... limits) throws IOException, InterruptedException {
    try (crowd) {
      TimeUnit.MILLISECONDS.sleep(CROWD_MILLIS);
      assertLives(CrowdedEntry.ENTRY, CrowdedEntry.ENTRY_MEMORY_BYTES);
      entry.awaitOrdinaryAnswers();
    }
    entry.awaitOrdinaryAnswers();
    assertLives(CrowdedEntry.ENTRY, CrowdedEntry.ENTRY_MEMORY_BYTES);
    entry.awaitNoMemoryHeld();
    if (limits.length > 0) {
      assertThat(entry.limitsApplied(limits)).as(String.join(", ", limits)).isPositive();
    }
  }

  private void assertLives(String process, long memoryBytes) throws IOException {
    assertThat(entry.exitStatus(process)).as(entry.endOfLog(process)).isEmpty();
    assertThat(entry.deployment().logOf(process))
        .doesNotContain("OutOfMemoryError")
        .as("an event loop that waits for memory")
        .doesNotContainPattern(WAIT_FOR_MEMORY);
    assertThat(entry.peakMemoryBytes(process)).isLessThan(memoryBytes);
    assertThat(entry.openDescriptors(process)).isLessThan(CrowdedEntry.DESCRIPTORS);
  }

  private static String get(String path) {
    return CrowdedEntry.request(path, "");
  }

  private static String longLines(int bytes) {
    String line = "X-Long: " + "x".repeat(990) + "\r\n";
    return line.repeat(bytes / line.length());
  }

  private static String shortLines(int bytes) {
    return "a:b\r\n".repeat(bytes / 5);
  }

  // Guards against limits that a single caller meets who stays inside those of requests.
  @ParameterizedTest
  @CsvSource({
    "/page/bytes/6000000/a, 1, 6000000, 2000000",
    "/page/bytes/250000/a, 1, 250000, 50000",
    "/page/bytes/200000/a, 20, 4000000, 1000000",
    "/stream/events/40/100000/a, 1, 4000000, 1000000",
    "/stream/events/2/1000000/a, 1, 2000000, 500000"
  })
  void callerAloneIsServed(String path, int requests, long bytes, int bytesPerSecond)
      throws Exception {
    String gets = CrowdedEntry.request(path, longLines(14_000)).repeat(requests);
    String post =
        "POST /once/bytes/%d/a HTTP/1.1\r\nHost: h.example\r\n".formatted(bytes)
            + "Content-Length: %d\r\n\r\n".formatted(LARGE_BODY_BYTES)
            + "x".repeat(LARGE_BODY_BYTES);

    assertThat(entry.download(gets, bytes, bytesPerSecond)).isGreaterThanOrEqualTo(bytes);
    assertThat(entry.download(post, bytes, bytesPerSecond)).isGreaterThanOrEqualTo(bytes);
    entry.awaitNoMemoryHeld();
  }

  // Guards against large responses that callers don't read, which fill the heap together.
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void largeAnswersThatAreHardlyRead(boolean isRead) throws Exception {
    assertBorne(
        entry.crowdOfCallers(200, new Behavior(get("/page/bytes/3000000/a"), "", isRead)),
        "response_unbuffered");
  }

  // Guards against responses without a length that callers don't read to their end.
  @Test
  void largeAnswersToOldProtocolThatAreHardlyRead() throws Exception {
    String request = get(UNREAD_EVENTS).replace("HTTP/1.1", "HTTP/1.0");
    assertBorne(entry.crowdOfCallers(200, Behavior.sendsAndReadsSlowly(request)), "memory_closed");
  }

  // Guards against event streams that callers don't read, which fill the heap together.
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void eventStreamsThatAreHardlyRead(boolean isRead) throws Exception {
    assertBorne(
        entry.crowdOfCallers(200, new Behavior(get(UNREAD_EVENTS), "", isRead)), "memory_closed");
  }

  // Guards against responses to requests that were sent ahead, which pile up on one connection.
  @ParameterizedTest
  @ValueSource(ints = {100_000, 200_000})
  void answersToRequestsSentAhead(int bytes) throws Exception {
    String requests = get("/page/bytes/%d/a".formatted(bytes)).repeat(20);
    assertBorne(
        entry.crowdOfCallers(60, Behavior.sends(requests)),
        "request_held_back",
        "memory_closed",
        "response_unbuffered");
  }

  // Guards against heads of requests that wait behind one at work, which count nowhere.
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void headsSentAhead(boolean isLong) throws Exception {
    String head = isLong ? longLines(14_000) : shortLines(14_000);
    String waiting = CrowdedEntry.request("/page/bytes/7/a", head).repeat(30);
    assertBorne(
        entry.crowdOfCallers(150, Behavior.sends(get("/page/silence/a") + waiting)),
        "memory_rejected");
  }

  // Guards against heads that never end, which count nowhere.
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void headsThatNeverEnd(boolean isLong) throws Exception {
    String head = isLong ? longLines(14_000) : shortLines(14_000);
    String begun = "GET /page/bytes/7/a HTTP/1.1\r\nHost: h.example\r\n" + head;
    assertBorne(entry.crowdOfCallers(1_100, Behavior.sendsAndReadsSlowly(begun)), "memory_closed");
  }

  // Guards against bodies that come a byte at a time, in chunks that each take an object.
  @Test
  void bodiesInChunksOfOneByte() throws Exception {
    String head = "POST /once/a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n";
    String body = "1\r\nx\r\n".repeat(100_000);
    assertBorne(entry.crowdOfCallers(200, Behavior.sends(head + body)));
  }

  // Guards against idle connections that take all descriptors, so that none is left for targets.
  @ParameterizedTest
  @ValueSource(strings = {"", "GET /page/bytes/7/a HTTP/1.1\r\nHost: h.example\r\nExpect: 100"})
  void idleConnections(String sent) throws Exception {
    assertBorne(
        entry.crowdOfCallers(1_600, Behavior.sendsAndReadsSlowly(sent)), "connection_displaced");
  }

  // Guards against requests at work that take all descriptors for their targets.
  @Test
  void requestsAtWork() throws Exception {
    assertBorne(
        entry.crowdOfCallers(1_600, Behavior.sends(get("/page/silence/a"))), "connection_refused");
  }

  // Guards against requests for addresses, sent ahead without end, which hold the event loop.
  @Test
  void directoryRequestsSentAhead() throws Exception {
    assertBorne(entry.crowdOfDirectory(40, Behavior.sendsWithoutEnd(get(DIRECTORY).repeat(20))));
  }

  // Guards against bodies that never end at the directory, which count nowhere.
  @Test
  void directoryBodiesThatNeverEnd() throws Exception {
    String begun =
        "GET %s HTTP/1.1\r\nHost: h\r\nContent-Length: 16000\r\n\r\n".formatted(DIRECTORY);
    assertBorne(
        entry.crowdOfDirectory(1_100, Behavior.sendsAndReadsSlowly(begun + longLines(15_000))));
  }

  // Guards against requests for readiness, sent ahead without end, which hold the event loop.
  @Test
  void readinessRequestsSentAhead() throws Exception {
    String requests = get("/ibishub/readiness").repeat(20);
    assertBorne(entry.crowdOfReadiness(40, Behavior.sendsWithoutEnd(requests)));
  }

  // Guards against readers of metrics that don't read them.
  @Test
  void metricsRequestsSentAhead() throws Exception {
    assertBorne(entry.crowdOfMetrics(40, Behavior.sendsWithoutEnd(get("/metrics").repeat(20))));
  }

  // Guards against strangers at the port for links that send most of a large frame.
  @ParameterizedTest
  @ValueSource(strings = {CrowdedEntry.ENTRY, CrowdedEntry.AGENT})
  void framesThatNeverEnd(String process) throws Exception {
    entry.startAgent();
    String frame = "\0" + (char) (MOST_OF_A_FRAME_BYTES >> 16) + "\0\0" + "x".repeat(1_000_000);
    try (Crowd crowd = entry.crowdOfLinks(process, 300, Behavior.sendsAndReadsSlowly(frame))) {
      entry.awaitLink(process);
      assertBorne(crowd);
    }
    entry.awaitLink(process);
    assertLives(CrowdedEntry.AGENT, CrowdedEntry.AGENT_MEMORY_BYTES);
  }

  // Guards against memory that stays held for callers that reset their connections in the midst.
  @ParameterizedTest
  @ValueSource(strings = {"/page/bytes/3000000/a", UNREAD_EVENTS, "/page/silence/a"})
  void callersThatReset(String path) throws Exception {
    String requests = get(path).repeat(4) + "GET /page/bytes/7/a HTTP/1.1\r\nHost: h";
    assertBorne(entry.crowdOfCallers(100, Behavior.sendsAndResets(requests)));
  }

  // Guards against crowds that are borne one by one and not together, and against a planned stop
  // that they hold up.
  @Test
  void allTogetherWithPlannedStop() throws Exception {
    try (Crowd answers =
            entry.crowdOfCallers(100, Behavior.sendsAndReadsSlowly(get("/page/bytes/3000000/a")));
        Crowd streams =
            entry.crowdOfCallers(100, Behavior.sendsAndReadsSlowly(get(UNREAD_EVENTS)));
        Crowd ahead =
            entry.crowdOfCallers(
                8, Behavior.sendsWithoutEnd(get("/page/bytes/20000/a").repeat(20)));
        Crowd idle = entry.crowdOfCallers(600, Behavior.sendsAndReadsSlowly(""));
        Crowd directory =
            entry.crowdOfDirectory(20, Behavior.sendsWithoutEnd(get(DIRECTORY).repeat(20)))) {
      TimeUnit.MILLISECONDS.sleep(CROWD_MILLIS);
      assertLives(CrowdedEntry.ENTRY, CrowdedEntry.ENTRY_MEMORY_BYTES);
      entry.awaitOrdinaryAnswers();
      assertLives(CrowdedEntry.ENTRY, CrowdedEntry.ENTRY_MEMORY_BYTES);

      entry.process(CrowdedEntry.ENTRY).destroy();

      assertThat(entry.process(CrowdedEntry.ENTRY).waitFor(60, TimeUnit.SECONDS)).isTrue();
      assertThat(entry.deployment().logOf(CrowdedEntry.ENTRY)).contains("entry.stopped");
    }
  }
}
