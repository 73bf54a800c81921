package dev.ibishub.gateway.membership;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.core.entries.EntryFacts;
import dev.ibishub.core.entries.EntryRoster;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.runtime.MonotonicClock;
import dev.ibishub.wire.Link;
import dev.ibishub.wire.LinkListener;
import dev.ibishub.wire.WireTransport;
import dev.ibishub.wire.generated.CrashDigest;
import dev.ibishub.wire.generated.CrashReport;
import dev.ibishub.wire.generated.EntryBeat;
import dev.ibishub.wire.generated.Frame;
import dev.ibishub.wire.generated.LimitReport;
import dev.ibishub.wire.generated.LoadReports;
import dev.ibishub.wire.generated.LogEpoch;
import dev.ibishub.wire.generated.ReadTurn;
import dev.ibishub.wire.generated.RecordProgress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * The links between entries, and the heartbeats and reports that they exchange. Thread-safe by one
 * lock, under which nothing outside of this class and its roster is called.
 *
 * <p>Each entry links to the first few in the order of {@link EntryRoster}, its relays, which tell
 * it of all others. Entries are found through the seeds in the settings, the platform's store, and
 * what other entries report.
 *
 * <p>Used on the platform of ibishub's users; the counterpart behind ibishub's own interface is
 * {@code PeerLinks} in the entry module.
 */
public final class PeerMesh implements LinkListener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Interval between heartbeats, milliseconds. */
  static final long HEARTBEAT_MILLIS = 200;

  /** Interval between checks of which links to open or close, milliseconds. */
  private static final long LINK_CHECK_MILLIS = 100;

  /** Delay between two attempts to connect to the same entry, milliseconds. */
  private static final long CONNECT_RETRY_MILLIS = 500;

  /** The same delay until this entry has settled whether it leads, milliseconds. */
  private static final long SETTLING_CONNECT_RETRY_MILLIS = 150;

  /**
   * How long a link that is no longer needed stays open, milliseconds; a hysteresis, as the order
   * of the entries may change back.
   */
  private static final long UNWANTED_LINK_MILLIS = 2_000;

  /** Gap between two ticks after which what this entry knows of others is stale, milliseconds. */
  private static final long STALL_MILLIS = 600;

  /** How long an entry listens after a start or a stall before it may lead, milliseconds. */
  static final long SETTLING_MILLIS = 800;

  /**
   * How long an entry listens before it takes up work that several entries may do at once,
   * milliseconds; within this time most entries that start together have heard each other. Linking
   * to the agents only once an entry may lead would delay the first expert map after a power loss
   * by 0.6 s.
   */
  static final long SHARED_WORK_SETTLING_MILLIS = 250;

  /**
   * How much longer an entry listens before it may lead while a first link to a known entry is
   * pending, milliseconds; longer than a connection attempt may take. Entries that start together
   * connect slowly: without this wait, five of seven entries took the lead within 0.4 s of a power
   * loss, and leaders that reject each other's orders back off for a second each.
   */
  static final long EXTRA_SETTLING_MILLIS = 1_200;

  private final Self self;
  private final WireTransport transport;
  private final Supplier<List<Frame>> snapshots;
  private final Listener listener;
  private final EntryRoster roster;
  private final Map<Link, PeerState> links = new HashMap<>();
  private final Map<String, ConnectState> connectStates = new HashMap<>();
  private RosterSnapshot directRoster = RosterSnapshot.EMPTY;
  private Set<String> hostsToLink = Set.of();
  private Set<String> hostsLinkedByAll = Set.of();
  private Set<String> aliveHosts = Set.of();
  private long lastTickAt;
  private long nextHeartbeatAt;
  private long nextLinkCheckAt;
  private long mayLeadFrom;

  /**
   * What an entry announces of itself.
   *
   * @param processId the name of the process
   * @param host its IP number
   * @param linkPort the port at which all entries accept links
   * @param callerAddress host and port at which it takes callers' requests
   * @param startedAt when it started, milliseconds since the Unix epoch
   * @param isReady whether callers may be sent there
   * @param isLeaving whether it is about to stop
   */
  public record Self(
      String processId,
      String host,
      int linkPort,
      String callerAddress,
      long startedAt,
      BooleanSupplier isReady,
      BooleanSupplier isLeaving) {

    private EntryFacts facts() {
      return new EntryFacts(
          host, callerAddress, startedAt, isReady.getAsBoolean(), isLeaving.getAsBoolean());
    }
  }

  /**
   * Callbacks for what other entries report.
   *
   * @param onReceived told of each message before it is handled
   * @param onProgress takes records of the platform that another entry passed on, and that entry's
   *     process id; returns whether any were news
   * @param onCrashes takes another entry's findings on requests that crash targets, and what to do
   *     with what follows from them
   * @param onCrashDigest takes a digest of those findings, over a link that has just been opened
   * @param onLimits takes the request limits that targets stated to another entry; returns whether
   *     any were news
   * @param onLoads takes the loads of targets that another entry collected
   * @param onTurn takes a turn to read the store that another entry passed to this one
   * @param onEpoch takes the epoch of the store's log that another entry knows; returns whether it
   *     is higher than known
   */
  public record Listener(
      Consumer<Frame> onReceived,
      BiPredicate<RecordProgress, String> onProgress,
      BiConsumer<CrashReport, Sender> onCrashes,
      BiConsumer<CrashDigest, Sender> onCrashDigest,
      Predicate<LimitReport> onLimits,
      Consumer<LoadReports> onLoads,
      Consumer<ReadTurn> onTurn,
      Predicate<LogEpoch> onEpoch) {}

  /**
   * The entry that a message came from.
   *
   * @param reply sends a message to that entry alone
   * @param forward sends a message to the entries that it may not have told
   */
  public record Sender(Consumer<Frame> reply, Consumer<Frame> forward) {}

  /** What is known of the entry at the other end of a link, and what was sent to it. */
  private static final class PeerState {
    private String host = "";
    private boolean isOpenedHere;
    private long unwantedSince = Long.MAX_VALUE;
    private long sentRosterVersion = RosterSnapshot.EMPTY.version();
    private long receivedRosterVersion = RosterSnapshot.EMPTY.version();
    private List<EntryFacts> receivedRoster = List.of();
  }

  /**
   * A message that is due.
   *
   * @param rosterVersion the version of the roster that the peer has once it got the message
   */
  private record Heartbeat(Link link, Frame frame, long rosterVersion) {}

  /** The attempts to connect to one host. */
  private static final class ConnectState {
    private long nextAttemptAt;
    private boolean isInProgress;
  }

  /**
   * Creates a mesh without links.
   *
   * @param snapshots returns what tells an entry all that this one knows, which is sent over each
   *     new link
   */
  public PeerMesh(
      Self self, WireTransport transport, Supplier<List<Frame>> snapshots, Listener listener) {
    this.self = self;
    this.transport = transport;
    this.snapshots = snapshots;
    this.listener = listener;
    this.roster = new EntryRoster(self.host(), self.startedAt());
  }

  /** Adds IP numbers at which there may be entries. */
  public synchronized void addHosts(Collection<String> hosts, long now) {
    hosts.forEach(host -> roster.onNamed(host, now));
  }

  /** Sends heartbeats, and opens and closes links, as they fall due. To be called often. */
  public void tick(long now) {
    advance(self.facts(), now).forEach(Runnable::run);
  }

  /** Returns the sends, connects and closes that are due. */
  private synchronized List<Runnable> advance(EntryFacts own, long now) {
    if (mayLeadFrom == 0 || now - lastTickAt > STALL_MILLIS) {
      // A stalled process has not heard the others and must not conclude that they are gone.
      mayLeadFrom = now + SETTLING_MILLIS;
    }
    lastTickAt = now;
    List<Runnable> due = new ArrayList<>();
    if (now >= nextHeartbeatAt) {
      nextHeartbeatAt = now + HEARTBEAT_MILLIS;
      heartbeats(own, now).forEach(heartbeat -> due.add(() -> send(heartbeat)));
    }
    if (now >= nextLinkCheckAt) {
      nextLinkCheckAt = now + LINK_CHECK_MILLIS;
      due.addAll(checkLinks(now));
    }
    return due;
  }

  /** Sends a message to all linked entries. */
  public void broadcast(Frame frame) {
    List<Link> peers;
    synchronized (this) {
      peers = openLinks();
    }
    peers.forEach(link -> link.offer(frame));
  }

  /**
   * Passes a turn to read the store to the next entry in order that has not passed it on yet. The
   * message may get lost.
   *
   * @param turn the turn as this entry got it, or a new one
   * @return whether it was sent; false if no other entry is left or linked
   */
  public boolean passTurn(ReadTurn turn) {
    Set<String> tried = new LinkedHashSet<>(turn.getTriedList());
    tried.add(self.host());
    Optional<String> next;
    Optional<Link> link;
    synchronized (this) {
      next = roster.nextInOrder(tried, MonotonicClock.millis());
      link = next.flatMap(host -> linkTo(host).or(this::linkToAnyRelay));
    }
    if (link.isEmpty()) {
      return false;
    }
    ReadTurn passed =
        turn.toBuilder().setTo(next.orElseThrow()).clearTried().addAllTried(tried).build();
    boolean isSent = link.get().offer(Frame.newBuilder().setReadTurn(passed).build());
    logger.atInfo().atMostEvery(1, TimeUnit.SECONDS).log(
        "%s",
        LogEvent.of("turn.passed")
            .with("topic", turn.getTopic())
            .with("to", passed.getTo())
            .with("tried", tried.size())
            .with("sent", isSent));
    return isSent;
  }

  /** Takes a turn that is meant for this entry; a relay forwards any other one. */
  private void takeOrForward(Frame frame) {
    String host = frame.getReadTurn().getTo();
    if (host.equals(self.host())) {
      listener.onTurn().accept(frame.getReadTurn());
      return;
    }
    Optional<Link> link;
    synchronized (this) {
      link = linkTo(host);
    }
    link.ifPresent(direct -> direct.offer(frame));
  }

  private Optional<Link> linkTo(String host) {
    return anyOpenLink(Set.of(host));
  }

  private Optional<Link> linkToAnyRelay() {
    return anyOpenLink(hostsToLink);
  }

  private Optional<Link> anyOpenLink(Set<String> hosts) {
    return links.entrySet().stream()
        .filter(link -> link.getKey().isOpen() && hosts.contains(link.getValue().host))
        .map(Map.Entry::getKey)
        .findFirst();
  }

  /** Returns the addresses at which callers may send requests, this entry's own first. */
  public List<String> callerAddresses(long now) {
    List<String> addresses = new ArrayList<>();
    if (self.isReady().getAsBoolean() && !self.isLeaving().getAsBoolean()) {
      addresses.add(self.callerAddress());
    }
    alive(now).stream()
        .filter(entry -> entry.isReady() && !entry.isLeaving())
        .map(EntryFacts::callerAddress)
        .filter(address -> !address.isEmpty() && !address.equals(self.callerAddress()))
        .sorted()
        .forEach(addresses::add);
    return addresses;
  }

  private synchronized List<EntryFacts> alive(long now) {
    return roster.alive(now);
  }

  /** Returns the number of entries that send requests to targets, including this one. */
  public synchronized int entries(long now) {
    return 1 + roster.countAlive(now);
  }

  /**
   * Returns how many of {@link #entries} started after a time. Clocks of VMs that differ count an
   * entry earlier or later by the difference.
   *
   * @param startedAfter milliseconds of the wall clock
   */
  public synchronized int entriesStartedAfter(long startedAfter, long now) {
    return (self.startedAt() > startedAfter ? 1 : 0)
        + roster.countAliveStartedAfter(startedAfter, now);
  }

  /** Returns the hosts of the entries that are not leaving, including this one unless it is. */
  public Set<String> stayingHosts(long now) {
    Stream<String> others =
        alive(now).stream().filter(entry -> !entry.isLeaving()).map(EntryFacts::host);
    Stream<String> own = Stream.of(self.host()).filter(any -> !self.isLeaving().getAsBoolean());
    return Stream.concat(own, others).collect(Collectors.toUnmodifiableSet());
  }

  /** Returns this entry's position, from 0, in the order of the entries that are not leaving. */
  public synchronized int position(long now) {
    return roster.position(now);
  }

  /**
   * Whether this entry is the leader. Two entries may be so for a short while; whatever a leader
   * does must tolerate that.
   */
  public boolean leads(long now) {
    return isAmongFirst(1, now) && hasSettled(now);
  }

  /**
   * Whether this entry can know all others: it has had time to hear them, or it hears one that had
   * that time before this one started.
   */
  public synchronized boolean knowsEntries(long now) {
    int startedTogether = roster.countAliveStartedAfter(self.startedAt() - SETTLING_MILLIS, now);
    return hasSettled(now) || roster.countAlive(now) > startedTogether;
  }

  /** Whether this entry has had time to hear the others since its start or its last stall. */
  private synchronized boolean hasSettled(long now) {
    return mayLeadFrom != 0
        && now >= mayLeadFrom
        && (now >= mayLeadFrom + EXTRA_SETTLING_MILLIS || !roster.isAnyPending(now));
  }

  /**
   * Whether this entry is among the first in the order of the entries that are not leaving. More
   * than {@code places} entries may be so for a short while, above all when all start at once.
   *
   * @param places the number of entries wanted
   */
  public boolean isAmongFirst(int places, long now) {
    return !self.isLeaving().getAsBoolean() && mayShareWork(now) && position(now) < places;
  }

  private synchronized boolean mayShareWork(long now) {
    return now >= mayLeadFrom - SETTLING_MILLIS + SHARED_WORK_SETTLING_MILLIS
        && now - lastTickAt <= STALL_MILLIS;
  }

  @Override
  public void onOpen(Link link) {
    // The next regular heartbeat may be 200 ms away; until then the peer knows nothing of this one.
    send(firstHeartbeat(link, self.facts(), MonotonicClock.millis()));
    snapshots.get().forEach(link::offer);
  }

  private synchronized Heartbeat firstHeartbeat(Link link, EntryFacts own, long now) {
    links.computeIfAbsent(link, any -> new PeerState());
    directRoster = directRoster.next(roster.heardDirectly(now));
    return new Heartbeat(
        link, HeartbeatMessages.frame(own, directRoster, false, now), directRoster.version());
  }

  @Override
  public void onFrame(Link link, Frame frame) {
    listener.onReceived().accept(frame);
    switch (frame.getBodyCase()) {
      case ENTRY_BEAT -> onHeartbeat(link, frame.getEntryBeat());
      case RECORD_PROGRESS ->
          forwardIfNews(
              link,
              frame,
              listener.onProgress().test(frame.getRecordProgress(), link.peer().processId()));
      case CRASH_REPORT -> listener.onCrashes().accept(frame.getCrashReport(), sender(link, frame));
      case CRASH_DIGEST ->
          listener.onCrashDigest().accept(frame.getCrashDigest(), sender(link, frame));
      case LIMIT_REPORT ->
          forwardIfNews(link, frame, listener.onLimits().test(frame.getLimitReport()));
      case LOG_EPOCH -> forwardIfNews(link, frame, listener.onEpoch().test(frame.getLogEpoch()));
      case READ_TURN -> takeOrForward(frame);
      case LOAD_REPORTS -> listener.onLoads().accept(frame.getLoadReports());
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
    links.remove(link);
  }

  private synchronized void onHeartbeat(Link link, EntryBeat beat) {
    long now = MonotonicClock.millis();
    PeerState state = links.computeIfAbsent(link, any -> new PeerState());
    state.host = beat.getSelf().getHost();
    roster.onHeard(HeartbeatMessages.facts(beat.getSelf()), now);
    if (beat.getRoster() != state.receivedRosterVersion) {
      state.receivedRosterVersion = beat.getRoster();
      state.receivedRoster = HeartbeatMessages.roster(beat);
    }
    IntStream.range(0, Math.min(state.receivedRoster.size(), beat.getAgesCount()))
        .forEach(
            index ->
                roster.onRelayed(state.receivedRoster.get(index), now - beat.getAges(index), now));
  }

  /**
   * Forwards a message that was news, unless its sender is a relay. A relay is linked to all
   * entries, so they have the message already.
   */
  private void forwardIfNews(Link from, Frame frame, boolean isNews) {
    if (isNews) {
      forward(from, frame, false);
    }
  }

  private Sender sender(Link link, Frame received) {
    boolean isDirect = received.getCrashReport().getDirect();
    return new Sender(link::offer, news -> forward(link, news, isDirect));
  }

  /**
   * Forwards a message to all linked entries but one.
   *
   * @param isDirect whether the message that it follows from went to this entry alone
   */
  private void forward(Link from, Frame frame, boolean isDirect) {
    List<Link> others;
    synchronized (this) {
      boolean isLinkedToAll =
          !links.containsKey(from) || hostsLinkedByAll.contains(links.get(from).host);
      others = isLinkedToAll && !isDirect ? List.of() : openLinks();
    }
    others.stream().filter(link -> !link.equals(from)).forEach(link -> link.offer(frame));
  }

  /** Returns the connects and closes that are due. */
  private List<Runnable> checkLinks(long now) {
    hostsToLink = new HashSet<>(roster.hostsToLink(now));
    hostsLinkedByAll = roster.hostsLinkedByAll();
    Set<String> linked =
        links.entrySet().stream()
            .filter(link -> link.getKey().isOpen())
            .map(link -> link.getValue().host)
            .collect(Collectors.toSet());
    connectStates
        .keySet()
        .removeIf(host -> !hostsToLink.contains(host) && !connectStates.get(host).isInProgress);
    List<Runnable> changes = new ArrayList<>();
    hostsToLink.stream()
        .filter(host -> !linked.contains(host))
        .filter(host -> mayConnect(host, now))
        .forEach(
            host -> {
              connectStates.get(host).isInProgress = true;
              changes.add(() -> connect(host));
            });
    links.values().forEach(state -> updateUnwantedSince(state, now));
    links.entrySet().stream()
        .filter(link -> now - link.getValue().unwantedSince >= UNWANTED_LINK_MILLIS)
        .forEach(link -> changes.add(link.getKey()::close));
    logChanges(now);
    return changes;
  }

  /** Notes since when a link is not needed. The peer closes the links that it opened itself. */
  private void updateUnwantedSince(PeerState state, long now) {
    boolean isUnwanted = state.isOpenedHere && !hostsToLink.contains(state.host);
    state.unwantedSince = isUnwanted ? Math.min(state.unwantedSince, now) : Long.MAX_VALUE;
  }

  private void logChanges(long now) {
    Set<String> before = aliveHosts;
    aliveHosts = roster.alive(now).stream().map(EntryFacts::host).collect(Collectors.toSet());
    aliveHosts.stream()
        .filter(host -> !before.contains(host))
        .forEach(host -> log("entry.heard", host));
    before.stream()
        .filter(host -> !aliveHosts.contains(host))
        .forEach(host -> log("entry.lost", host));
  }

  private void log(String event, String host) {
    logger.atInfo().log(
        "%s", LogEvent.of(event).with("host", host).with("alive", aliveHosts.size()));
  }

  /**
   * Returns a heartbeat for each linked entry, with the roster where the peer lacks its current
   * version.
   */
  private List<Heartbeat> heartbeats(EntryFacts own, long now) {
    directRoster = directRoster.next(roster.heardDirectly(now));
    Frame withoutRoster = HeartbeatMessages.frame(own, directRoster, true, now);
    List<Link> openLinks = openLinks();
    boolean isRosterNeeded = openLinks.stream().anyMatch(link -> !hasCurrentRoster(link));
    Frame withRoster =
        isRosterNeeded ? HeartbeatMessages.frame(own, directRoster, false, now) : withoutRoster;
    return openLinks.stream()
        .map(
            link ->
                new Heartbeat(
                    link,
                    hasCurrentRoster(link) ? withoutRoster : withRoster,
                    directRoster.version()))
        .toList();
  }

  private void send(Heartbeat heartbeat) {
    if (heartbeat.link().offer(heartbeat.frame())) {
      onSent(heartbeat);
    }
  }

  private synchronized void onSent(Heartbeat heartbeat) {
    Optional.ofNullable(links.get(heartbeat.link()))
        .ifPresent(state -> state.sentRosterVersion = heartbeat.rosterVersion());
  }

  private boolean hasCurrentRoster(Link link) {
    return links.get(link).sentRosterVersion == directRoster.version();
  }

  private boolean mayConnect(String host, long now) {
    ConnectState state = connectStates.computeIfAbsent(host, any -> new ConnectState());
    return !state.isInProgress && now >= state.nextAttemptAt;
  }

  private void connect(String host) {
    transport
        .connect(host, self.linkPort(), this)
        .whenComplete((link, failure) -> onConnected(host, link));
  }

  private synchronized void onConnected(String host, Link link) {
    long now = MonotonicClock.millis();
    ConnectState attempt = connectStates.get(host);
    attempt.isInProgress = false;
    attempt.nextAttemptAt =
        now + (now < mayLeadFrom ? SETTLING_CONNECT_RETRY_MILLIS : CONNECT_RETRY_MILLIS);
    if (link != null && link.isOpen()) {
      PeerState state = links.computeIfAbsent(link, any -> new PeerState());
      state.host = host;
      state.isOpenedHere = true;
    }
  }

  /** Returns one open link to each entry; two entries that linked to each other have two. */
  private List<Link> openLinks() {
    return List.copyOf(
        links.keySet().stream()
            .filter(Link::isOpen)
            .collect(
                Collectors.toMap(link -> link.peer().processId(), link -> link, (one, two) -> one))
            .values());
  }
}
