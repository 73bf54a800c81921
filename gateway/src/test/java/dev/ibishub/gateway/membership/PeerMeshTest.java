package dev.ibishub.gateway.membership;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.entries.EntryFacts;
import dev.ibishub.core.entries.EntryRoster;
import dev.ibishub.runtime.MonotonicClock;
import dev.ibishub.wire.Identity;
import dev.ibishub.wire.Link;
import dev.ibishub.wire.WireTransport;
import dev.ibishub.wire.generated.EntryBeat;
import dev.ibishub.wire.generated.EntryWord;
import dev.ibishub.wire.generated.Frame;
import dev.ibishub.wire.generated.ReadTurn;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class PeerMeshTest {
  private static final String OWN = "127.0.2.2";
  private static final String OTHER = "127.0.2.1";
  private static final long STEP_MILLIS = 100;
  private static final PeerMesh.Listener IGNORING_LISTENER =
      new PeerMesh.Listener(
          frame -> {},
          (progress, sender) -> false,
          (crashes, sender) -> {},
          (digest, sender) -> {},
          limits -> false,
          loads -> {},
          turn -> {},
          epoch -> false);

  private final WireTransport transport =
      WireTransport.create(new Identity("entry-2", "entry", "z", 1), Optional.empty());
  private final PeerMesh mesh = mesh("entry-2", OWN, transport, freePort());
  private long now = MonotonicClock.millis();

  private static PeerMesh mesh(String name, String host, WireTransport transport, int port) {
    return mesh(name, host, transport, port, 1);
  }

  private static PeerMesh mesh(
      String name, String host, WireTransport transport, int port, long startedAt) {
    return new PeerMesh(
        new PeerMesh.Self(name, host, port, host + ":1", startedAt, () -> true, () -> false),
        transport,
        List::of,
        IGNORING_LISTENER);
  }

  private static int freePort() {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(OTHER))) {
      return free.getLocalPort();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  @AfterEach
  void stop() {
    transport.close();
  }

  private void advance(long millis) {
    for (long end = now + millis; now < end; now += STEP_MILLIS) {
      mesh.tick(now);
    }
    mesh.tick(now);
  }

  @Test
  void leadsAfterSettlingWhenNoOtherEntryIsKnown() {
    advance(PeerMesh.SETTLING_MILLIS - 2 * STEP_MILLIS);
    assertThat(mesh.leads(now)).isFalse();

    advance(3 * STEP_MILLIS);
    assertThat(mesh.leads(now)).isTrue();
  }

  // Guards against several leaders after a power loss. When all entries started at once on slow
  // VMs, five of them had heard nobody within 0.8 s, took the lead and rejected each other's
  // orders, so expert maps did not change for seconds.
  @Test
  void waitsLongerToLeadWhileFirstLinkIsPending() throws IOException {
    int port = freePort();
    PeerMesh waiting = mesh("entry-2", OWN, transport, port);
    try (ServerSocket slow = new ServerSocket()) {
      slow.bind(new InetSocketAddress(OTHER, port));
      waiting.addHosts(List.of(OTHER), now);
      long start = now;
      for (; now <= start + PeerMesh.SETTLING_MILLIS + STEP_MILLIS; now += STEP_MILLIS) {
        waiting.tick(now);
      }
      assertThat(waiting.leads(now)).isFalse();

      for (; now <= start + PeerMesh.SETTLING_MILLIS + PeerMesh.EXTRA_SETTLING_MILLIS; ) {
        now += STEP_MILLIS;
        waiting.tick(now);
      }
      assertThat(waiting.leads(now)).isTrue();
    }
  }

  @Test
  void settlesAgainAfterStall() {
    advance(PeerMesh.SETTLING_MILLIS + STEP_MILLIS);
    now += 5_000;
    mesh.tick(now);

    assertThat(mesh.leads(now)).isFalse();
  }

  // Guards against two failures: entries that start together and share an allowance before they
  // have
  // heard each other, and an entry that restarts alone and cannot retry until it has settled.
  @Test
  void knowsEntriesAtOnceOnlyFromOneThatSettledBefore() {
    long startedAt = 100_000;
    PeerMesh restarted = mesh("entry-2", OWN, transport, freePort(), startedAt);
    restarted.tick(now);
    assertThat(restarted.knowsEntries(now)).isFalse();

    hearEntryStartedAt(restarted, startedAt - PeerMesh.SETTLING_MILLIS + 1);
    assertThat(restarted.entriesStartedAfter(startedAt - 1_000, MonotonicClock.millis()))
        .isEqualTo(2);
    assertThat(restarted.knowsEntries(MonotonicClock.millis())).isFalse();

    hearEntryStartedAt(restarted, startedAt - PeerMesh.SETTLING_MILLIS);
    assertThat(restarted.knowsEntries(MonotonicClock.millis())).isTrue();
    assertThat(restarted.entriesStartedAfter(startedAt, MonotonicClock.millis())).isZero();
  }

  private void hearEntryStartedAt(PeerMesh mesh, long startedAt) {
    EntryFacts other = new EntryFacts(OTHER, OTHER + ":1", startedAt, true, false);
    mesh.onFrame(
        link(new EmbeddedChannel()),
        HeartbeatMessages.frame(other, RosterSnapshot.EMPTY, true, MonotonicClock.millis()));
  }

  private static EntryBeat beat(Frame frame) {
    return frame.getEntryBeat();
  }

  private static EntryFacts facts(String host) {
    return new EntryFacts(host, host + ":1", 1, true, false);
  }

  private static Link link(EmbeddedChannel channel) {
    return Link.over(channel, new Link.Peer("entry-1", "entry", "z", 1));
  }

  // Guards against losing an entry that only the first heartbeat of a relay names: the heartbeats
  // after it hold just the times.
  @Test
  void timesAloneKeepEntriesOfKnownRosterAlive() {
    Link relay = link(new EmbeddedChannel());
    mesh.onOpen(relay);
    RosterSnapshot old =
        RosterSnapshot.EMPTY.next(Map.of(facts("127.0.2.3"), now - 10 * EntryRoster.ALIVE_MILLIS));
    mesh.onFrame(relay, HeartbeatMessages.frame(facts(OTHER), old, false, now));
    assertThat(mesh.entries(MonotonicClock.millis())).isEqualTo(2);

    RosterSnapshot fresh = old.next(Map.of(facts("127.0.2.3"), now));
    mesh.onFrame(relay, HeartbeatMessages.frame(facts(OTHER), fresh, true, now));
    assertThat(mesh.entries(MonotonicClock.millis())).isEqualTo(3);
  }

  @Test
  void heartbeatHoldsRosterOnlyWhenPeerLacksIt() {
    EmbeddedChannel channel = new EmbeddedChannel();
    Link relay = link(channel);
    mesh.onOpen(relay);
    mesh.onFrame(
        relay,
        HeartbeatMessages.frame(facts(OTHER), RosterSnapshot.EMPTY, true, MonotonicClock.millis()));
    channel.outboundMessages().clear();
    advance(2 * PeerMesh.HEARTBEAT_MILLIS);

    EntryBeat first = beat(channel.readOutbound());
    EntryBeat second = beat(channel.readOutbound());
    assertThat(first.getHeardList()).extracting(EntryWord::getHost).containsExactly(OTHER);
    assertThat(second.getHeardList()).isEmpty();
    assertThat(second.getAgesCount()).isEqualTo(1);
    assertThat(second.getRoster()).isEqualTo(first.getRoster());
  }

  private static void hear(PeerMesh mesh, Link link, String host) {
    mesh.onOpen(link);
    mesh.onFrame(
        link,
        HeartbeatMessages.frame(facts(host), RosterSnapshot.EMPTY, true, MonotonicClock.millis()));
  }

  // Guards against a turn to read the store that goes back to an entry that has passed it on.
  @Test
  void turnIsPassedToNextEntryThatHasNotTried() {
    EmbeddedChannel channel = new EmbeddedChannel();
    hear(mesh, link(channel), OTHER);
    channel.outboundMessages().clear();
    ReadTurn turn = ReadTurn.newBuilder().setTopic("topic").setWaitMillis(900).build();

    assertThat(mesh.passTurn(turn)).isTrue();
    ReadTurn passed = ((Frame) channel.readOutbound()).getReadTurn();
    assertThat(passed.getTo()).isEqualTo(OTHER);
    assertThat(passed.getWaitMillis()).isEqualTo(900);
    assertThat(passed.getTriedList()).containsExactly(OWN);

    assertThat(mesh.passTurn(turn.toBuilder().addTried(OTHER).build())).isFalse();
  }

  // Guards against turns that end at a relay because the rejected entry has no link to the next.
  @Test
  void relayForwardsTurnToEntryThatIsMeant() {
    EmbeddedChannel channel = new EmbeddedChannel();
    hear(mesh, link(channel), OTHER);
    channel.outboundMessages().clear();
    Frame frame =
        Frame.newBuilder()
            .setReadTurn(ReadTurn.newBuilder().setTopic("topic").setTo(OTHER))
            .build();
    mesh.onFrame(link(new EmbeddedChannel()), frame);

    assertThat((Frame) channel.readOutbound()).isEqualTo(frame);
  }

  // Guards against two threads that wait for each other: one in the mesh, which asks whether the
  // entry is ready, and one that holds what that depends on and adds a host to the mesh.
  @Test
  void entryIsAskedForItsStateOutsideOfLock() {
    AtomicReference<PeerMesh> asked = new AtomicReference<>();
    AtomicInteger questions = new AtomicInteger();
    AtomicInteger questionsUnderLock = new AtomicInteger();
    BooleanSupplier isReady =
        () -> {
          questions.incrementAndGet();
          questionsUnderLock.addAndGet(Thread.holdsLock(asked.get()) ? 1 : 0);
          return true;
        };
    asked.set(
        new PeerMesh(
            new PeerMesh.Self("entry-2", OWN, freePort(), OWN + ":1", 1, isReady, isReady),
            transport,
            List::of,
            IGNORING_LISTENER));
    PeerMesh mesh = asked.get();
    hear(mesh, link(new EmbeddedChannel()), OTHER);
    mesh.tick(now);
    mesh.callerAddresses(now);
    mesh.stayingHosts(now);
    mesh.isAmongFirst(1, now);
    mesh.leads(now);

    assertThat(questions.get()).isGreaterThanOrEqualTo(6);
    assertThat(questionsUnderLock).hasValue(0);
  }
}
