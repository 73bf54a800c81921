package dev.ibishub.node;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.entries.ReadTurns;
import dev.ibishub.gateway.front.TargetDirectory;
import dev.ibishub.gateway.http.PooledHttpClient;
import dev.ibishub.gateway.model.ServingConfiguration;
import dev.ibishub.platform.StoreClient;
import dev.ibishub.platform.standins.StoreStandIn;
import dev.ibishub.runtime.MonotonicClock;
import dev.ibishub.wire.generated.Frame;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs the copies of three entries before a store that comes back from an older copy of itself. */
final class StoreReturnTest {
  private static final int ENTRIES = 3;
  private static final long CONFIGURATION_MILLIS = 2_000;
  private static final double READS_PER_SECOND = 2_000;
  private static final long TICK_MILLIS = 10;

  /** Bounds how long a failing test runs; no record is late by a figure of its own. */
  private static final long TEST_TIMEOUT_MILLIS = 20_000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private StoreStandIn store;
  private List<Member> members = List.of();

  /** The copies of one entry, which reads the store over HTTP and broadcasts to the others. */
  private final class Member {
    private final CurrentConfiguration configuration = new CurrentConfiguration();
    private final TargetDirectory targets = new TargetDirectory("zone-a");
    private final StoreTopics topics;

    Member(int number) {
      String[] address = store.address().split(":", 2);
      StoreClient client =
          new StoreClient(
              new PooledHttpClient(group),
              address[0],
              Integer.parseInt(address[1]),
              (operation, status, epoch) -> topics().onOwnEpoch(epoch));
      topics =
          new StoreTopics(
              client,
              configuration,
              new CurrentEvacuations(targets),
              targets,
              () -> ReadTurns.within(CONFIGURATION_MILLIS, READS_PER_SECOND),
              new StoreTopics.Listener(
                  frame -> broadcast(number, frame), host -> {}, turn -> false),
              MonotonicClock::millis);
    }

    private StoreTopics topics() {
      return topics;
    }

    long version() {
      return configuration.get().map(ServingConfiguration::version).orElse(0L);
    }
  }

  private void broadcast(int sender, Frame frame) {
    IntStream.range(0, ENTRIES)
        .filter(number -> number != sender)
        .forEach(
            number -> {
              StoreTopics receiver = members.get(number).topics;
              if (frame.hasLogEpoch()) {
                receiver.onPeerEpoch(frame.getLogEpoch());
              } else {
                receiver.onProgress(frame.getRecordProgress(), "entry-" + sender);
              }
            });
  }

  @BeforeEach
  void start() throws IOException {
    store = new StoreStandIn();
    members = IntStream.range(0, ENTRIES).mapToObj(Member::new).toList();
  }

  @AfterEach
  void stop() {
    group.shutdownGracefully().syncUninterruptibly();
    store.close();
  }

  private void publish(long version) {
    store.put(
        "keyed.op",
        "config",
        "{\"version\":%d,\"routes\":[],\"services\":[],\"tenants\":[]}".formatted(version));
  }

  private boolean isInForceEverywhere(long version) {
    return members.stream().allMatch(member -> member.version() == version);
  }

  private void tick() {
    long now = MonotonicClock.millis();
    IntStream.range(0, ENTRIES)
        .forEach(number -> members.get(number).topics.tick(now, number, ENTRIES));
  }

  /** Runs the entries until a version is in force at all of them. */
  private void awaitVersion(long version) throws InterruptedException {
    long deadline = MonotonicClock.millis() + TEST_TIMEOUT_MILLIS;
    while (!isInForceEverywhere(version) && MonotonicClock.millis() < deadline) {
      group.next().submit(this::tick).syncUninterruptibly();
      Thread.sleep(TICK_MILLIS);
    }
    assertThat(members).extracting(Member::version).containsOnly(version);
  }

  /** Publishes five versions, and returns a copy that lacks the last three. */
  private StoreStandIn.Copy publishThenLose(long firstVersion) throws InterruptedException {
    publish(firstVersion);
    publish(firstVersion + 4);
    StoreStandIn.Copy copy = store.copy();
    publish(firstVersion + 7);
    publish(firstVersion + 9);
    publish(firstVersion + 14);
    awaitVersion(firstVersion + 14);
    return copy;
  }

  // Guards against a configuration that is never in force because the store came back from an older
  // copy and its log still ends before the entries' copies do.
  @Test
  void versionIsInForceWhileLogEndsBeforeItDidBeforeReturn() throws InterruptedException {
    store.returnTo(publishThenLose(2));
    publish(20);

    awaitVersion(20);
  }

  // Guards against a configuration that is never in force because the store gave its offset out a
  // second time, to a log that has grown past the entries' copies before any of them read it.
  @Test
  void versionIsInForceThoughItsOffsetWasReadBeforeReturn() throws InterruptedException {
    StoreStandIn.Copy copy = publishThenLose(2);
    store.setDown(true);
    store.returnTo(copy);
    publish(20);
    publish(24);
    store.evacuate("zone-b", "{}");
    store.evacuate("zone-c", "{}");
    store.setDown(false);

    awaitVersion(24);
  }

  // Guards against entries that fail, or take no record any more, because the store's responses
  // state no epoch or one that can't be read.
  @ParameterizedTest
  @ValueSource(strings = {"", "third", "-1", "99999999999999999999"})
  void versionIsInForceThoughResponsesStateNoReadableEpoch(String header)
      throws InterruptedException {
    publish(2);
    awaitVersion(2);
    store.setEpochHeader(header);
    publish(6);
    awaitVersion(6);

    store.returnTo(publishThenLose(9));
    publish(40);
    awaitVersion(40);
  }
}
