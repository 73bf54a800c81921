package dev.ibishub.standins;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.entry.EntryMain;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Plays crowds of clients that don't read, or don't end what they send, at an entry process of
 * ibishub's own interface. Checks what {@code dev.ibishub.node.CrowdTest} checks.
 */
@Timeout(value = 180, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
final class EntryCrowdTest {
  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
  private static final int DESCRIPTORS = 600;
  private static final long MEMORY_BYTES = 430_000_000;
  private static final int TIMEOUT_MILLIS = 5_000;
  private static final long AWAIT_MILLIS = 60_000;
  private static final long CROWD_MILLIS = 3_000;

  @TempDir private Path folder;
  private StandInFixture log;
  private StandInFixture machines;
  private final List<Socket> crowd = new ArrayList<>();
  private int callerPort;
  private Process entry;

  @BeforeEach
  void start() throws Exception {
    log = StandInFixture.start("log");
    machines = StandInFixture.start("vm-list");
    callerPort = unusedPort();
    Path settings =
        Files.writeString(
            folder.resolve("entry.json"),
            """
            {
              "processId": "entry-1", "zone": "vake", "site": "tbilisi", "host": "127.0.0.1",
              "callerPort": %d, "peerPort": %d, "logUrl": "%s", "virtualMachineListUrl": "%s"
            }
            """
                .formatted(callerPort, unusedPort(), log.base(), machines.base()));
    entry =
        new ProcessBuilder(
                "sh",
                "-c",
                "ulimit -n " + DESCRIPTORS + "; exec \"$0\" \"$@\"",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx28m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:+ExitOnOutOfMemoryError",
                "-cp",
                System.getProperty("java.class.path"),
                EntryMain.class.getName(),
                "--settings",
                settings.toString())
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve("entry.log").toFile())
            .start();
    awaitAnswer();
  }

  @AfterEach
  void stop() throws IOException {
    leave();
    entry.destroyForcibly();
    log.close();
    machines.close();
  }

  private static int unusedPort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
      return socket.getLocalPort();
    }
  }

  private void join(int connections, String sent) throws IOException {
    for (int number = 0; number < connections; number++) {
      Socket caller = new Socket();
      caller.setReceiveBufferSize(4_096);
      caller.connect(new InetSocketAddress(LOOPBACK, callerPort), TIMEOUT_MILLIS);
      crowd.add(caller);
      try {
        caller.getOutputStream().write(sent.getBytes(StandardCharsets.US_ASCII));
      } catch (IOException e) {
        // The entry may close a connection of the crowd at any time.
        caller.close();
      }
    }
  }

  private void leave() throws IOException {
    for (Socket caller : crowd) {
      caller.close();
    }
    crowd.clear();
  }

  private String metrics() {
    try (Socket caller = new Socket(LOOPBACK, callerPort)) {
      caller.setSoTimeout(TIMEOUT_MILLIS);
      caller
          .getOutputStream()
          .write(
              "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                  .getBytes(StandardCharsets.US_ASCII));
      return new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      return "";
    }
  }

  private void awaitAnswer() throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AWAIT_MILLIS);
    while (!metrics().startsWith("HTTP/1.1 200") && System.nanoTime() < deadline) {
      TimeUnit.MILLISECONDS.sleep(100);
    }
    assertThat(metrics()).startsWith("HTTP/1.1 200");
  }

  private void assertBorne() throws Exception {
    TimeUnit.MILLISECONDS.sleep(CROWD_MILLIS);
    assertLives();
    awaitAnswer();
    leave();
    awaitAnswer();
    assertLives();
  }

  private void assertLives() throws IOException {
    Path process = Path.of("/proc", Long.toString(entry.pid()));
    assertThat(entry.isAlive()).isTrue();
    assertThat(Files.readString(folder.resolve("entry.log"))).doesNotContain("OutOfMemoryError");
    try (Stream<Path> open = Files.list(process.resolve("fd"))) {
      assertThat(open.count()).isLessThan(DESCRIPTORS);
    }
    try (Stream<String> lines = Files.lines(process.resolve("status"))) {
      assertThat(lines.filter(line -> line.startsWith("VmHWM:")).findFirst())
          .hasValueSatisfying(
              line ->
                  assertThat(Long.parseLong(line.replaceAll("\\D", "")) * 1_024)
                      .isLessThan(MEMORY_BYTES));
    }
  }

  // Guards against heads that never end, which count nowhere.
  @Test
  void headsThatNeverEnd() throws Exception {
    join(400, "GET /metrics HTTP/1.1\r\nHost: h\r\n" + "a:b\r\n".repeat(2_800));
    assertBorne();
  }

  // Guards against responses to requests that were sent ahead, which pile up unread.
  @Test
  void responsesToRequestsSentAhead() throws Exception {
    join(150, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n".repeat(30));
    assertBorne();
  }

  // Guards against idle connections that take all descriptors.
  @Test
  void idleConnections() throws Exception {
    join(900, "");
    assertBorne();
  }
}
