package dev.ibishub.node;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.core.entries.ReadTurns;
import dev.ibishub.core.entries.RememberedEntries;
import dev.ibishub.core.serving.ColdLimit;
import dev.ibishub.core.serving.LimitDivision;
import dev.ibishub.core.serving.RetryLimits;
import dev.ibishub.core.serving.SharedLimits;
import dev.ibishub.core.serving.admission.WorkspaceShares;
import dev.ibishub.gateway.callers.CallerMemory;
import dev.ibishub.gateway.callers.CallerResources;
import dev.ibishub.gateway.callers.CallerServer;
import dev.ibishub.gateway.callers.DescriptorShares;
import dev.ibishub.gateway.experts.ExpertController;
import dev.ibishub.gateway.experts.LoadRelay;
import dev.ibishub.gateway.experts.RankLinks;
import dev.ibishub.gateway.experts.RankPaths;
import dev.ibishub.gateway.front.AdmissionMode;
import dev.ibishub.gateway.front.CrashDetector;
import dev.ibishub.gateway.front.RequestContext;
import dev.ibishub.gateway.front.RequestMetrics;
import dev.ibishub.gateway.front.RetryBudgets;
import dev.ibishub.gateway.front.ServiceAdmission;
import dev.ibishub.gateway.front.ServiceStatistics;
import dev.ibishub.gateway.front.TargetDirectory;
import dev.ibishub.gateway.front.TargetLimits;
import dev.ibishub.gateway.http.PageServer;
import dev.ibishub.gateway.http.PooledHttpClient;
import dev.ibishub.gateway.membership.PeerMesh;
import dev.ibishub.gateway.model.Service;
import dev.ibishub.gateway.model.ServingConfiguration;
import dev.ibishub.gateway.model.Target;
import dev.ibishub.platform.AddressPages;
import dev.ibishub.platform.EngineClient;
import dev.ibishub.platform.HeaderDialect;
import dev.ibishub.platform.StoreClient;
import dev.ibishub.runtime.EventLoopMonitor;
import dev.ibishub.runtime.IndependentSteps;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.runtime.MonotonicClock;
import dev.ibishub.runtime.PacedTasks;
import dev.ibishub.runtime.ProcessSignals;
import dev.ibishub.runtime.Timeouts;
import dev.ibishub.settings.NodeSettings;
import dev.ibishub.wire.Identity;
import dev.ibishub.wire.LinkLimits;
import dev.ibishub.wire.WireTransport;
import dev.ibishub.wire.generated.Frame;
import dev.ibishub.wire.generated.LoadReports;
import dev.ibishub.wire.generated.ReadTurn;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * An entry process on the users' platform, which relays callers' requests to targets. It learns the
 * configuration, the targets and the other entries from the store and its peers. Behind ibishub's
 * own interface, {@code dev.ibishub.entry.Entry} takes this role.
 */
final class EntryNode {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Threads for connections. A VM has about one core, so a second one would only add wake-ups, and
   * what has no lock of its own relies on there being one.
   */
  private static final int IO_THREADS = 1;

  /** Interval between ticks of an entry that leads or has just started, milliseconds. */
  private static final long BUSY_TICK_MILLIS = 25;

  /**
   * Interval between ticks of other entries, whose shortest period is relaying loads, milliseconds.
   */
  private static final long TICK_MILLIS = 100;

  /**
   * Time for which an entry counts as starting, milliseconds. Links and the leader are settled by
   * its end.
   */
  private static final long STARTING_MILLIS = 4_000;

  /** Memory for other entries' reports on crashes that wait to be merged, bytes. */
  private static final long MAXIMUM_WAITING_REPORT_BYTES = 1 << 20;

  private volatile NodeSettings settings;
  private final CallerResources resources =
      CallerResources.create(
          PrometheusRegistry.defaultRegistry,
          new CallerMemory(() -> settings.callerMemoryBytes()),
          () -> shares().callerConnections(settings.maximumCallerConnections()),
          () -> TimeUnit.SECONDS.toMillis(settings.stalledResponseSeconds()));
  private volatile ReadTurns configurationTurns;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(IO_THREADS, NioIoHandler.newFactory());
  private final ScheduledExecutorService ticker = group.next();
  private final EventLoopMonitor loopMonitor =
      new EventLoopMonitor(PrometheusRegistry.defaultRegistry);
  private final CurrentConfiguration configuration = new CurrentConfiguration();
  private final CrashDetector crashes;
  private final TargetLimits limits;
  private final RememberedEntries remembered;
  private final TargetDirectory targets;
  private final CurrentEvacuations evacuations;
  private final NodeMetrics metrics;
  private final EntryAnnouncement announcement;
  private final StoreTopics topics;
  private final PeerMesh mesh;
  private final WireTransport transport;
  private final CallerServer server;
  private final ExpertController experts;
  private final LoadRelay loads;
  private final RankLinks ranks;
  private final RankPaths paths;
  private final GracefulStop stop;
  private final RetryBudgets budgets;
  private final ServiceAdmission admission;
  private final long startedAt = MonotonicClock.millis();
  private volatile boolean isListening;

  private EntryNode(NodeSettings settings) {
    this.settings = settings;
    configurationTurns = configurationTurns(settings);
    InetSocketAddress storeAddress = SocketAddresses.parse(settings.storeAddress().orElseThrow());
    PooledHttpClient httpClient = new PooledHttpClient(group);
    metrics = new NodeMetrics(PrometheusRegistry.defaultRegistry);
    crashes = newCrashDetector(settings);
    limits =
        new TargetLimits(
            new SharedLimits(settings.host(), LimitDivision.amongFewHolders()),
            this::broadcast,
            this::coldLimit,
            PrometheusRegistry.defaultRegistry);
    remembered = new RememberedEntries(settings.host(), startedAt);
    targets = new TargetDirectory(settings.zone(), crashes::onIncarnationEnded, limits);
    evacuations = new CurrentEvacuations(targets);
    stop = new GracefulStop(settings);
    budgets =
        new RetryBudgets(
            retryLimits(settings),
            startedAt,
            settings.isFirstStart(),
            PrometheusRegistry.defaultRegistry);
    admission = newAdmission();
    StoreClient store =
        new StoreClient(
            httpClient, storeAddress.getHostString(), storeAddress.getPort(), this::onStoreCall);
    announcement = new EntryAnnouncement(store, settings.processId(), settings.host());
    topics =
        new StoreTopics(
            store,
            configuration,
            evacuations,
            targets,
            () -> configurationTurns,
            new StoreTopics.Listener(
                this::broadcast, host -> addHosts(List.of(host)), this::passTurn),
            MonotonicClock::millis);
    transport = newTransport();
    mesh = newMesh();
    experts =
        new ExpertController(
            targets,
            configuration::get,
            (target, order) -> paths().send(target, order),
            InstantSource.system());
    loads = new LoadRelay(targets, mesh::broadcast);
    ranks = new RankLinks(transport, settings.linkPort(), loads, experts, Timeouts.on(ticker));
    paths =
        new RankPaths(
            ranks,
            target -> new EngineClient(httpClient, target.host(), target.port()),
            targets,
            loads,
            experts);
    server = newServer();
  }

  private static Identity identity(NodeSettings settings) {
    return new Identity(
        settings.processId(), "entry", settings.zone(), ThreadLocalRandom.current().nextLong());
  }

  private WireTransport newTransport() {
    WireTransport created =
        WireTransport.createOnGroup(
            identity(settings),
            group,
            new LinkLimits(settings.maximumHandshakes(), settings.linkMemoryBytes()));
    NodeMetrics.addRejectedLinks(PrometheusRegistry.defaultRegistry, created::rejectedConnections);
    return created;
  }

  private CrashDetector newCrashDetector(NodeSettings settings) {
    CrashDetector detector =
        new CrashDetector(
            this::broadcast,
            () -> mesh().leads(MonotonicClock.millis()),
            new PacedTasks(ticker::schedule, System::nanoTime, MAXIMUM_WAITING_REPORT_BYTES),
            PrometheusRegistry.defaultRegistry);
    if (!settings.isFirstStart()) {
      detector.awaitFindings(startedAt);
    }
    return detector;
  }

  private ServiceAdmission newAdmission() {
    return new ServiceAdmission(
        AdmissionMode.of(settings.admission()),
        configuration::get,
        targets,
        () -> mesh().entries(MonotonicClock.millis()),
        stop,
        WorkspaceShares.EQUAL,
        PrometheusRegistry.defaultRegistry);
  }

  private PeerMesh newMesh() {
    return new PeerMesh(
        new PeerMesh.Self(
            settings.processId(),
            settings.host(),
            settings.linkPort(),
            settings.callerAddress().orElseThrow(),
            System.currentTimeMillis(),
            this::isReady,
            stop::isLeaving),
        transport,
        this::snapshots,
        new PeerMesh.Listener(
            metrics::onFrame,
            topics::onProgress,
            crashes::onReport,
            crashes::onDigest,
            limits::onReport,
            this::onLoads,
            this::onTurn,
            topics::onPeerEpoch));
  }

  private static ReadTurns configurationTurns(NodeSettings settings) {
    return ReadTurns.within((long) settings.configurationMillis(), settings.storeReadsPerSecond());
  }

  private static RetryLimits retryLimits(NodeSettings settings) {
    return new RetryLimits(
        settings.retriesPerRequest(),
        settings.sharedRetryAllowance(),
        TimeUnit.SECONDS.toMillis(settings.retryWindowSeconds()));
  }

  private CallerServer newServer() {
    return new RequestContext(
            new HeaderDialect(),
            this::configurationForRequests,
            targets,
            budgets,
            new ServiceStatistics(),
            crashes,
            limits,
            admission,
            () -> mesh.entries(MonotonicClock.millis()),
            stop,
            new RequestMetrics(PrometheusRegistry.defaultRegistry),
            startedAt)
        .newServer(resources);
  }

  private DescriptorShares shares() {
    return DescriptorShares.of(settings.descriptors());
  }

  private CallerResources pages(String port) {
    return resources.forPort(
        port, () -> shares().pageConnections(settings.maximumPageConnections()));
  }

  /**
   * Starts an entry.
   *
   * @param file file that the settings were read from, which is reloaded when it changes
   */
  static EntryNode start(NodeSettings settings, Path file) {
    EntryNode node = new EntryNode(settings);
    node.run(file);
    return node;
  }

  private void run(Path file) {
    logger.atInfo().log(
        "%s",
        LogEvent.of("entry.started")
            .with("host", settings.host())
            .with("zone", settings.zone())
            .with("seeds", settings.seeds()));
    addHosts(settings.seeds().stream().map(SocketAddresses::host).toList());
    transport.listen(settings.host(), settings.linkPort(), mesh).join();
    ticker.execute(this::tick);
    loopMonitor.startWatching();
    server.listen(group, SocketAddresses.parse(settings.callerAddress().orElseThrow()));
    isListening = true;
    PageServer.listen(
        group,
        SocketAddresses.parse(settings.readinessAddress().orElseThrow()),
        pages("readiness"),
        AddressPages.readiness(this::isReady));
    PageServer.listen(
        group,
        SocketAddresses.parse(settings.directoryAddress().orElseThrow()),
        pages("directory"),
        AddressPages.addresses(
            () -> mesh.callerAddresses(MonotonicClock.millis()),
            () -> settings.addressValiditySeconds()));
    if (settings.metricsPort() > 0) {
      PageServer.listen(
          group,
          new InetSocketAddress(settings.host(), settings.metricsPort()),
          pages("metrics"),
          new MetricsText(PrometheusRegistry.defaultRegistry, this::updateMetrics));
    }
    ProcessSignals.onStop(() -> stop.run(server));
    new SettingsWatch(file, settings, this::applySettings).start(ticker);
  }

  /** Applies changed settings without interrupting requests. */
  private void applySettings(NodeSettings changed) {
    settings = changed;
    configurationTurns = configurationTurns(changed);
    budgets.change(retryLimits(changed));
    stop.updateSettings(changed);
    admission.change(AdmissionMode.of(changed.admission()));
    addHosts(changed.seeds().stream().map(SocketAddresses::host).toList());
  }

  private void addHosts(List<String> hosts) {
    long now = MonotonicClock.millis();
    mesh().addHosts(hosts, now);
    remembered.onNamed(hosts, now);
  }

  /** Returns the limit of the cold targets of a service; empty where there is none. */
  private Optional<ColdLimit> coldLimit(String service) {
    return configuration
        .get()
        .map(current -> current.services().get(service))
        .map(Service::coldRequestsPerSecond)
        .filter(requestsPerSecond -> requestsPerSecond > 0)
        .map(
            requestsPerSecond ->
                new ColdLimit(requestsPerSecond, settings.coldOverrun(), settings.coldSlack()));
  }

  private void onStoreCall(String operation, int status, long epoch) {
    metrics.onStoreCall(operation, status, epoch);
    topics().onOwnEpoch(epoch);
  }

  private boolean passTurn(ReadTurn turn) {
    boolean isSent = mesh().passTurn(turn);
    metrics.onReadTurn(turn.getTopic(), isSent ? "passed" : "unsent");
    return isSent;
  }

  private void onTurn(ReadTurn turn) {
    metrics.onReadTurn(turn.getTopic(), "received");
    topics.onTurn(turn);
  }

  private void broadcast(Frame frame) {
    mesh.broadcast(frame);
  }

  /**
   * Returns messages that tell all that this entry knows, for an entry that has just been linked.
   */
  private List<Frame> snapshots() {
    return Stream.of(
            topics.snapshots().stream(), Stream.of(crashes.digest()), limits.snapshot().stream())
        .flatMap(frames -> frames)
        .toList();
  }

  /** Returns the configuration in force; empty until the evacuations are known, too. */
  private Optional<ServingConfiguration> configurationForRequests() {
    return topics.areOperatorRecordsKnown() ? configuration.get() : Optional.empty();
  }

  private boolean isReady() {
    return isListening
        && !stop.isLeaving()
        && configurationForRequests().isPresent()
        && topics.areTargetsKnown();
  }

  /** Runs all that is due now and then. What fails, runs again with the next tick. */
  private void tick() {
    long now = MonotonicClock.millis();
    loopMonitor.onTask(now);
    long delay = BUSY_TICK_MILLIS;
    try {
      IndependentSteps.run("tick", tickSteps(now));
      delay = tickDelay(mesh.leads(now), now);
    } finally {
      loopMonitor.onNextTask(MonotonicClock.millis() + delay);
      ticker.schedule(this::tick, delay, TimeUnit.MILLISECONDS);
    }
  }

  private List<Runnable> tickSteps(long now) {
    return List.of(
        () -> mesh.tick(now),
        () -> targets.tick(now),
        () -> crashes.tick(now),
        () -> tickLimits(now),
        () -> countEntries(now),
        () -> tickExperts(now),
        () -> topics.tick(now, mesh.position(now), mesh.entries(now)),
        this::announce);
  }

  private void tickLimits(long now) {
    Set<String> stayingHosts = mesh.stayingHosts(now);
    limits.tick(stayingHosts, now);
    remembered.onHeard(stayingHosts, now);
    limits.tickCold(remembered.participants(now), now);
  }

  private void tickExperts(long now) {
    boolean leads = mesh.leads(now);
    boolean collects = mesh.isAmongFirst(LoadRelay.COLLECTORS, now);
    Set<String> engineHosts = collects ? engineHosts() : Set.of();
    experts.tick(leads, now);
    // The first entry in order collects maps and picks before it may lead, so that it has them when
    // it does.
    boolean collectsPicksAndMaps = collects && mesh.position(now) == 0;
    ranks.tick(engineHosts, collectsPicksAndMaps, experts::wantsPicks, now);
    if (leads) {
      paths.pollUnlinked(engineHosts, now);
    }
    loads.tick(collects, now);
  }

  private void announce() {
    if (isReady()) {
      announcement.tick(topics.epoch());
    }
  }

  /**
   * Returns the time until the next tick, milliseconds. Turns of reading may be closer than the
   * interval; only the first entry's polls keep to it, as more of them would cost calls.
   */
  private long tickDelay(boolean leads, long now) {
    boolean isBusy = leads || now - startedAt < STARTING_MILLIS;
    long regular = isBusy ? BUSY_TICK_MILLIS : TICK_MILLIS;
    long untilRead = topics.configurationDueAt() - now;
    boolean isDueBefore = mesh.position(now) > 0 && untilRead > 0 && untilRead < regular;
    return isDueBefore ? untilRead : regular;
  }

  /** Tells the retry budgets how many entries there are, once that can be known. */
  private void countEntries(long now) {
    if (settings.isFirstStart() || mesh.knowsEntries(now)) {
      long windowStart = System.currentTimeMillis() - retryLimits(settings).windowMillis();
      budgets.onEntries(mesh.entries(now), mesh.entriesStartedAfter(windowStart, now), now);
    }
  }

  private RankPaths paths() {
    return paths;
  }

  private StoreTopics topics() {
    return topics;
  }

  private PeerMesh mesh() {
    return mesh;
  }

  /** Returns the IP addresses of targets that are model engines; each may have an agent. */
  private Set<String> engineHosts() {
    Optional<ServingConfiguration> current = configuration.get();
    if (current.isEmpty()) {
      return Set.of();
    }
    return targets.all().stream()
        .map(TargetDirectory.ListedTarget::target)
        .filter(
            target ->
                Optional.ofNullable(current.get().services().get(target.service()))
                    .flatMap(Service::engine)
                    .isPresent())
        .map(Target::host)
        .collect(Collectors.toSet());
  }

  private void updateMetrics() {
    long now = MonotonicClock.millis();
    topics.forEachAge(now, metrics::onAge);
    metrics.onState(
        configuration.get().map(ServingConfiguration::version).orElse(0L),
        mesh.entries(now),
        mesh.leads(now));
    metrics.onEvacuatedZones(evacuations.count());
  }

  private void onLoads(LoadReports reports) {
    loads.onPeerReports(reports, MonotonicClock.millis());
  }
}
