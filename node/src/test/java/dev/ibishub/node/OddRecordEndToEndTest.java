package dev.ibishub.node;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.platform.standins.Deployment;
import dev.ibishub.platform.standins.TargetStandIn;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs entry processes that start while a record of another writer stands among those of the
 * targets.
 */
final class OddRecordEndToEndTest {
  private static final int REQUESTS = 40;

  /** Sorts before the ids of the targets, so that entries read the record first. */
  private static final String ODD_ID = "a-odd";

  private static final List<String> ENTRIES = List.of("entry-1", "entry-2");

  private static final long RENEWAL_MILLIS = 300;

  private final List<TargetStandIn> targets = new ArrayList<>();
  private volatile boolean isOver;
  private final AtomicInteger connections = new AtomicInteger();
  private final ServerSocket decoy;
  @TempDir private Path folder;
  private Deployment deployment;

  OddRecordEndToEndTest() throws IOException {
    decoy = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  }

  @BeforeEach
  void start() throws IOException {
    CompletableFuture.runAsync(this::countConnections);
    deployment = new Deployment(programWithNames("not-an-address", "127.0.0.300", "127.1"));
    deployment.publish(3, "pages", "key-1");
    targets.add(deployment.startTarget("i-1", "127.0.0.1", "pages"));
    targets.add(deployment.startTarget("i-2", "127.0.0.1", "pages"));
  }

  @AfterEach
  void stop() throws IOException {
    deployment.close();
    decoy.close();
  }

  /** Returns the program with a resolver that finds these names at the loopback address. */
  private Deployment.Programs programWithNames(String... names) throws IOException {
    Path hosts = Files.writeString(folder.resolve("hosts"), "127.0.0.1 " + String.join(" ", names));
    Deployment.Programs program = Deployment.Programs.onThisClassPath(NodeMain.class.getName());
    return new Deployment.Programs(
        name -> {
          List<String> command = new ArrayList<>(program.command().apply(name));
          command.add(command.indexOf("-cp"), "-Djdk.net.hosts.file=" + hosts);
          return command;
        });
  }

  private void countConnections() {
    try {
      while (true) {
        Socket accepted = decoy.accept();
        connections.incrementAndGet();
        accepted.close();
      }
    } catch (IOException e) {
      // The test is over.
    }
  }

  private void startEntries() throws IOException, InterruptedException {
    deployment.startEntry("entry-1", "127.0.1.1", "127.0.1.1");
    deployment.startEntry("entry-2", "127.0.1.2", "127.0.1.1");
    for (String entry : ENTRIES) {
      deployment.await(
          "entries listed",
          () -> ENTRIES.stream().map(deployment::callerAddress).allMatch(resolve(entry)::contains));
    }
  }

  private String resolve(String entry) {
    try {
      return deployment.resolve(entry);
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private static String record(String service, String address) {
    return "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z1\",\"slots\":4,\"state\":\"ready\","
            .formatted(service, address)
        + "\"sequence\":1}";
  }

  /** Sends requests that may run once to both entries in turn, and counts those that are served. */
  private int countServed() throws IOException, InterruptedException {
    int served = 0;
    for (int request = 0; request < REQUESTS; request++) {
      String entry = ENTRIES.get(request % ENTRIES.size());
      served += deployment.call(entry, "POST", "/once/a", "").statusCode() == 200 ? 1 : 0;
    }
    return served;
  }

  // Guards against a service that stops, or requests that are sent elsewhere, after all entries
  // have restarted while another writer's record names an address that is none.
  @ParameterizedTest
  @ValueSource(
      strings = {"127.0.0.1:70000", "not-an-address:PORT", "127.0.0.300:PORT", "127.1:PORT"})
  void recordWithoutAddressIsNoTarget(String address) throws IOException, InterruptedException {
    String port = Integer.toString(decoy.getLocalPort());
    deployment.store().put("keyed.servers", ODD_ID, record("pages", address.replace("PORT", port)));
    startEntries();

    assertThat(countServed()).isEqualTo(REQUESTS);
    assertThat(connections).hasValue(0);
  }

  // Guards against requests that fail as they go to a record's target whose id no header can hold.
  @ParameterizedTest
  @ValueSource(strings = {"a\r\nodd: 1", "a\u0000", "\u00e9"})
  void recordWhoseIdIsNoHeaderValueIsNoTarget(String id) throws IOException, InterruptedException {
    String address = "127.0.0.1:" + decoy.getLocalPort();
    deployment.store().put("keyed.servers", id, record("pages", address));
    startEntries();

    assertThat(countServed()).isEqualTo(REQUESTS);
    assertThat(connections).hasValue(0);
  }

  // Guards against callers that are refused for a missing key, and requests that go round between
  // entries, as a record names an entry's address as a target's.
  @Test
  void entryIsNoTarget() throws IOException, InterruptedException {
    startEntries();
    for (String entry : ENTRIES) {
      String address = deployment.callerAddress(entry);
      deployment.store().put("keyed.servers", ODD_ID + entry, record("pages", address));
      deployment.await(
          "record read", () -> deployment.logOf("entry-2").contains("\"" + ODD_ID + entry + "\""));
    }

    for (int request = 0; request < REQUESTS; request++) {
      String entry = ENTRIES.get(request % ENTRIES.size());
      assertThat(deployment.call(entry, "GET", "/page/x", "key-1").statusCode()).isEqualTo(200);
    }
  }

  // Guards against a service that stops after all entries have restarted, as records of another
  // writer bear the addresses of its targets and a service that the configuration doesn't name.
  @ParameterizedTest
  @ValueSource(strings = {"a-odd", "z-odd"})
  void recordsOfUnnamedServiceDisplaceNoTarget(String id) throws IOException, InterruptedException {
    for (TargetStandIn target : targets) {
      deployment
          .store()
          .put("keyed.servers", id + target.id(), record("metrics", target.address()));
    }
    startEntries();

    assertThat(countServed()).isEqualTo(REQUESTS);
  }

  // Guards against a service that stops for as long as records of another writer, which claim a
  // later start, bear the addresses of targets that renew their own records.
  @ParameterizedTest
  @CsvSource({"other, 1800000000000", "other, 9223372036854775807", "pages, 1800000000000"})
  void targetsThatRenewTheirRecordsAreNotDisplaced(String service, long startedAt)
      throws IOException, InterruptedException {
    targets.forEach(this::renew);
    for (TargetStandIn target : targets) {
      String sound = record(service, target.address());
      String later = sound.replace("}", ",\"born\":%d}".formatted(startedAt));
      deployment.store().put("keyed.servers", ODD_ID + target.id(), later);
    }
    startEntries();
    CompletableFuture<Void> renewing = CompletableFuture.runAsync(this::renewUntilOver);
    try {
      for (String entry : ENTRIES) {
        deployment.await(
            "served", () -> deployment.call(entry, "POST", "/once/a", "").statusCode() == 200);
      }
      assertThat(countServed()).isEqualTo(REQUESTS);
    } finally {
      isOver = true;
      renewing.join();
    }
  }

  /** Writes the record of a target that started before those of the other writer. */
  private void renew(TargetStandIn target) {
    String announced = target.announcement("pages", "ready");
    deployment
        .store()
        .put("keyed.servers", target.id(), announced.replace("}", ",\"born\":1700000000000}"));
  }

  private void renewUntilOver() {
    try {
      while (!isOver) {
        targets.forEach(this::renew);
        Thread.sleep(RENEWAL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
