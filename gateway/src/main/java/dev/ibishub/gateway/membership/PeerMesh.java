package dev.ibishub.gateway.membership;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.runtime.MonotonicClock;
import dev.ibishub.wire.Link;
import dev.ibishub.wire.LinkListener;
import dev.ibishub.wire.WireTransport;
import dev.ibishub.wire.generated.EntryBeat;
import dev.ibishub.wire.generated.Frame;
import dev.ibishub.wire.generated.RecordProgress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * Links between all entries, and what they say over them. Thread-safe by one lock.
 *
 * <p>An entry counts as alive while its heartbeats come. It is found by the seeds of the settings,
 * by the platform's store, and by what other entries name; no list of members has to be agreed on,
 * since nothing that must be right depends on it.
 */
public final class PeerMesh implements LinkListener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Time between two heartbeats, milliseconds. */
  static final long BEAT_MILLIS = 200;

  /** An entry that was silent for longer than this is not named to callers any more. */
  static final long ALIVE_MILLIS = 900;

  /** Time between two tries to reach an entry, milliseconds. */
  private static final long DIAL_MILLIS = 500;

  /** The same while this entry makes up its mind whether it leads, milliseconds. */
  private static final long SETTLING_DIAL_MILLIS = 150;

  /** An entry that nobody has heard for this long is no longer called. Milliseconds. */
  private static final long FORGET_MILLIS = 30_000;

  /** After this long without an own turn, what is known of others is out of date. Milliseconds. */
  private static final long STALL_MILLIS = 600;

  /** How long an entry listens before it takes the lead. Milliseconds. */
  static final long SETTLING_MILLIS = 800;

  /**
   * How much longer it listens while a first link to a known entry is still coming about. Entries
   * that start together are slow then: without this five of seven took the lead within 0.4 s after
   * a loss of power, and leaders that refuse each other wait a second each. Milliseconds; more than
   * a connection attempt may take.
   */
  static final long LONGER_SETTLING_MILLIS = 1_200;

  private final Self self;
  private final WireTransport transport;
  private final Supplier<List<Frame>> snapshots;
  private final Consumer<RecordProgress> onProgress;
  private final Map<String, Peer> peers = new HashMap<>();
  private final Map<String, Known> hosts = new HashMap<>();
  private long lastTickAt;
  private long nextBeatAt;
  private long leadsFrom;

  /**
   * What an entry says of itself.
   *
   * @param processId its name
   * @param host its IP number
   * @param linkPort the port for links, the same for all
   * @param callerAddress where callers' requests are taken
   * @param isReady whether callers may be sent there
   * @param isLeaving whether it is about to stop
   */
  public record Self(
      String processId,
      String host,
      int linkPort,
      String callerAddress,
      BooleanSupplier isReady,
      BooleanSupplier isLeaving) {}

  private static final class Peer {
    private Link link;
    private EntryBeat beat = EntryBeat.getDefaultInstance();
    private long heardAt = Long.MIN_VALUE / 2;

    private boolean isLinkedUnheard() {
      return link != null && link.isOpen() && heardAt < 0;
    }
  }

  private static final class Known {
    private long nextDialAt;
    private long namedAt;
    private boolean isDialing;
    private boolean wasDialed;
  }

  /**
   * Creates a mesh without peers.
   *
   * @param snapshots what to tell an entry that has just been linked: all that is known
   * @param onProgress told of what other entries read
   */
  public PeerMesh(
      Self self,
      WireTransport transport,
      Supplier<List<Frame>> snapshots,
      Consumer<RecordProgress> onProgress) {
    this.self = self;
    this.transport = transport;
    this.snapshots = snapshots;
    this.onProgress = onProgress;
  }

  /** Names IP numbers at which there may be entries. */
  public synchronized void addHosts(Collection<String> named, long now) {
    named.stream()
        .filter(host -> !host.equals(self.host()))
        .forEach(host -> hosts.computeIfAbsent(host, any -> new Known()).namedAt = now);
  }

  /** Sends heartbeats and opens missing links. To be called often. */
  public synchronized void tick(long now) {
    if (leadsFrom == 0 || now - lastTickAt > STALL_MILLIS) {
      // A process that stood still has not heard the others; it must not take them for gone.
      leadsFrom = now + SETTLING_MILLIS;
    }
    lastTickAt = now;
    if (now >= nextBeatAt) {
      nextBeatAt = now + BEAT_MILLIS;
      Frame beat = Frame.newBuilder().setEntryBeat(beat(now)).build();
      open().forEach(link -> link.offer(beat));
    }
    hosts.values().removeIf(known -> now - known.namedAt > FORGET_MILLIS);
    hosts.forEach((host, known) -> dialIfMissing(host, known, now));
  }

  /** Tells all linked entries what this one read. */
  public void broadcast(Frame frame) {
    List<Link> links;
    synchronized (this) {
      links = open().toList();
    }
    links.forEach(link -> link.offer(frame));
  }

  /** Returns the addresses that callers may use, this entry's own first. */
  public synchronized List<String> callerAddresses(long now) {
    List<String> addresses = new ArrayList<>();
    if (self.isReady().getAsBoolean() && !self.isLeaving().getAsBoolean()) {
      addresses.add(self.callerAddress());
    }
    alive(now)
        .filter(peer -> peer.beat.getReady() && !peer.beat.getLeaving())
        .map(peer -> peer.beat.getCallerAddress())
        .filter(address -> !address.isEmpty() && !address.equals(self.callerAddress()))
        .sorted()
        .forEach(addresses::add);
    return addresses;
  }

  /** Returns how many entries send requests to targets, this one included. */
  public synchronized int entries(long now) {
    return 1 + (int) alive(now).count();
  }

  /** Returns this entry's place among those that stay, from 0. */
  public synchronized int turn(long now) {
    return (int)
        peers.entrySet().stream()
            .filter(peer -> isAlive(peer.getValue(), now) && !peer.getValue().beat.getLeaving())
            .filter(peer -> peer.getKey().compareTo(self.processId()) < 0)
            .count();
  }

  /**
   * Whether this entry leads where one has to. Two may for a short while believe so; what a leader
   * does has to bear it.
   */
  public synchronized boolean leads(long now) {
    boolean hasSettled =
        now >= leadsFrom
            && (now >= leadsFrom + LONGER_SETTLING_MILLIS || !isFirstLinkComingAbout());
    return hasSettled
        && now - lastTickAt <= STALL_MILLIS
        && !self.isLeaving().getAsBoolean()
        && turn(now) == 0;
  }

  @Override
  public void onOpen(Link link) {
    synchronized (this) {
      peers.computeIfAbsent(link.peer().processId(), any -> new Peer()).link = link;
      // The next heartbeat may be 200 ms away, in which this entry is as good as unknown.
      link.offer(Frame.newBuilder().setEntryBeat(beat(MonotonicClock.millis())).build());
    }
    snapshots.get().forEach(link::offer);
  }

  @Override
  public void onFrame(Link link, Frame frame) {
    switch (frame.getBodyCase()) {
      case ENTRY_BEAT -> onBeat(link, frame.getEntryBeat());
      case RECORD_PROGRESS -> onProgress.accept(frame.getRecordProgress());
      default ->
          logger.atWarning().log(
              "%s",
              LogEvent.of("link.unexpected")
                  .with("peer", link.peer().processId())
                  .with("frame", frame.getBodyCase()));
    }
  }

  @Override
  public synchronized void onClose(Link link) {
    Peer peer = peers.get(link.peer().processId());
    if (peer != null && peer.link == link) {
      peer.link = null;
    }
  }

  private synchronized void onBeat(Link link, EntryBeat beat) {
    long now = MonotonicClock.millis();
    Peer peer = peers.computeIfAbsent(link.peer().processId(), any -> new Peer());
    if (!isAlive(peer, now) || peer.beat.getLeaving() != beat.getLeaving()) {
      logger.atInfo().log(
          "%s",
          LogEvent.of("entry.heard")
              .with("entry", link.peer().processId())
              .with("leaving", beat.getLeaving()));
    }
    if (peer.link == null || !peer.link.isOpen()) {
      peer.link = link;
    }
    peer.beat = beat;
    peer.heardAt = now;
    addHosts(beat.getKnownHostsList(), now);
    addHosts(List.of(beat.getHost()), now);
  }

  private EntryBeat beat(long now) {
    return EntryBeat.newBuilder()
        .setHost(self.host())
        .setCallerAddress(self.callerAddress())
        .setReady(self.isReady().getAsBoolean())
        .setLeaving(self.isLeaving().getAsBoolean())
        .addAllKnownHosts(alive(now).map(peer -> peer.beat.getHost()).toList())
        .build();
  }

  private void dialIfMissing(String host, Known known, long now) {
    boolean isLinked =
        peers.values().stream()
            .anyMatch(
                peer ->
                    peer.link != null && peer.link.isOpen() && peer.beat.getHost().equals(host));
    if (isLinked || known.isDialing || now < known.nextDialAt) {
      return;
    }
    known.isDialing = true;
    transport.connect(host, self.linkPort(), this).whenComplete((link, failure) -> onDialed(known));
  }

  private synchronized void onDialed(Known known) {
    long now = MonotonicClock.millis();
    known.isDialing = false;
    known.wasDialed = true;
    known.nextDialAt = now + (now < leadsFrom ? SETTLING_DIAL_MILLIS : DIAL_MILLIS);
  }

  private boolean isFirstLinkComingAbout() {
    return hosts.values().stream().anyMatch(known -> known.isDialing && !known.wasDialed)
        || peers.values().stream().anyMatch(Peer::isLinkedUnheard);
  }

  private Stream<Link> open() {
    return peers.values().stream()
        .map(peer -> peer.link)
        .filter(link -> link != null && link.isOpen());
  }

  private Stream<Peer> alive(long now) {
    return peers.values().stream()
        .filter(peer -> isAlive(peer, now))
        .sorted(Comparator.comparing(peer -> peer.beat.getHost()));
  }

  private static boolean isAlive(Peer peer, long now) {
    return now - peer.heardAt <= ALIVE_MILLIS;
  }
}
