package dev.ibishub.entry;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.administration.AuditTrail;
import dev.ibishub.administration.ConfigurationFollower;
import dev.ibishub.administration.ConfigurationPublisher;
import dev.ibishub.administration.ConfigurationSnapshotWriter;
import dev.ibishub.administration.OperatorApi;
import dev.ibishub.core.AddressBook;
import dev.ibishub.core.Admission;
import dev.ibishub.core.AdmissionOptions;
import dev.ibishub.core.MemberRecord;
import dev.ibishub.core.MemberRole;
import dev.ibishub.core.MemberState;
import dev.ibishub.core.Membership;
import dev.ibishub.core.MembershipOptions;
import dev.ibishub.core.RetryBudget;
import dev.ibishub.core.Router;
import dev.ibishub.core.RouterOptions;
import dev.ibishub.outbound.AppendOnlyLog;
import dev.ibishub.outbound.HttpAppendOnlyLog;
import dev.ibishub.outbound.HttpVirtualMachineList;
import dev.ibishub.outbound.OutboundHttp;
import dev.ibishub.outbound.VirtualMachineList;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.runtime.MonitoringEndpoints;
import dev.ibishub.runtime.Timeouts;
import dev.ibishub.settings.EntrySettings;
import dev.ibishub.wire.Identity;
import dev.ibishub.wire.TlsContexts;
import dev.ibishub.wire.WireTransport;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * An entry process, which faces callers behind ibishub's own interface: creates, starts and stops
 * its parts.
 */
public final class Entry {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Entries named in one answer to a caller that asks for addresses. */
  private static final int MAXIMUM_ADDRESSES = 3;

  /** Limit on the delay of messages between entries and on the difference of their clocks. */
  private static final double MAXIMUM_GOSSIP_DELAY_SECONDS = 2;

  private static final long CONNECT_INTERVAL_MILLIS = 200;
  private static final long GOSSIP_INTERVAL_MILLIS = 250;

  /**
   * Wait that a cached prefix is worth when choosing a target. Requests are keyed by a prefix of 64
   * characters, some 16 tokens, whose prefill takes a few milliseconds. The core's default is made
   * for prefixes of thousands of tokens; with it, whole workspaces queued for one target while
   * others had free slots.
   */
  private static final double PREFIX_SAVING_SECONDS = 0.005;

  private static final long PLACEMENT_INTERVAL_MILLIS = 1_000;
  private static final long GROUP_TICK_INTERVAL_MILLIS = 50;
  private static final long SNAPSHOT_INTERVAL_MILLIS = 2_000;
  private static final long LIST_INTERVAL_MILLIS = 1_000;
  private static final long DRAIN_POLL_INTERVAL_MILLIS = 50;
  private static final Duration PUBLISH_TIMEOUT = Duration.ofSeconds(5);

  private final EntrySettings settings;
  private final InstantSource clock = InstantSource.system();
  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2);
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final Timeouts timeouts = Timeouts.on(timers, threads);
  private final EntryMetrics metrics = new EntryMetrics();
  private final Router router =
      Router.create(RouterOptions.defaults().withPrefixSavingSeconds(PREFIX_SAVING_SECONDS));
  private final Admission admission = Admission.create(AdmissionOptions.defaults());
  private final WireTransport transport;
  private final VirtualMachineList machineList;
  private final AppendOnlyLog log;
  private final ConfigurationFollower configuration;
  private final EndpointServer server;
  private final Membership membership;
  private final AddressBook addresses;
  private final TargetLinks targets;
  private final PeerLinks peers;
  private final ConfigurationPublisher publisher;
  private volatile boolean refusingRequests;

  private Entry(EntrySettings settings, Optional<TlsContexts> tls) throws IOException {
    this.settings = settings;
    long incarnation = clock.millis();
    Identity identity = new Identity(settings.processId(), "entry", settings.zone(), incarnation);
    this.transport = WireTransport.create(identity, tls);
    HttpClient client = OutboundHttp.newClient(threads);
    this.log = HttpAppendOnlyLog.create(URI.create(settings.logUrl()), client);
    this.machineList =
        HttpVirtualMachineList.create(URI.create(settings.virtualMachineListUrl()), client);
    this.configuration =
        ConfigurationFollower.create(
            log, settings.site(), ConfigurationFollower.Options.defaults());
    this.publisher =
        ConfigurationPublisher.create(log, configuration, clock, PUBLISH_TIMEOUT, timeouts);
    this.server = new EndpointServer(settings, incarnation, clock, threads, metrics.registry());
    server.listen();
    DeferredLinkListener listener = new DeferredLinkListener();
    int peerPort = transport.listen(settings.host(), settings.peerPort(), listener).join();
    this.membership =
        Membership.create(newSelfRecord(incarnation, peerPort), MembershipOptions.defaults());
    this.addresses =
        AddressBook.create(
            membership,
            settings.addressValiditySeconds(),
            MAXIMUM_GOSSIP_DELAY_SECONDS,
            MAXIMUM_ADDRESSES);
    this.targets = new TargetLinks(transport, membership, router, clock);
    this.peers = new PeerLinks(transport, membership, configuration, admission, clock);
    listener.setDelegate(peers);
  }

  /**
   * Starts an entry.
   *
   * @param settings checked settings
   * @return the running entry
   * @throws IOException if a key file cannot be read or the caller port cannot be bound
   */
  public static Entry start(EntrySettings settings) throws IOException {
    Entry entry = new Entry(settings, tls(settings));
    entry.startServing();
    return entry;
  }

  /**
   * Drains and closes this entry, and returns when done. The entry leaves the address list at once,
   * serves until the last address list that names it has expired, then refuses new requests, lets
   * those in flight end and writes their responses. All of this takes at most the configured drain
   * time.
   */
  public void drain() {
    Instant deadline = clock.instant().plusSeconds(settings.drainSeconds());
    membership.markLeaving(settings.processId(), clock.instant());
    peers.sendUpdates();
    logger.atInfo().log("%s", LogEvent.of("entry.leaving"));
    Instant serveUntil =
        addresses.servesUntil().filter(until -> until.isBefore(deadline)).orElse(deadline);
    waitUntil(serveUntil, false);
    refusingRequests = true;
    waitUntil(deadline, true);
    logger.atInfo().log(
        "%s",
        LogEvent.of("entry.drained")
            .with("inFlight", server.inFlight())
            .with("unwrittenResponses", server.unwritten().responses())
            .with("unwrittenBytes", server.unwritten().bytes()));
    close();
  }

  private void close() {
    timers.shutdownNow();
    configuration.close();
    server.close();
    transport.close();
    threads.shutdown();
  }

  private void waitUntil(Instant until, boolean onlyWhileBusy) {
    while (clock.instant().isBefore(until) && !(onlyWhileBusy && !server.isBusy())) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(DRAIN_POLL_INTERVAL_MILLIS));
    }
  }

  private void startServing() {
    configuration.addEvacuationListener(this::onEvacuatedZones);
    configuration.start();
    OrderSender orders = newOrderSender();
    addEndpoints(orders);
    scheduleEvery(LIST_INTERVAL_MILLIS, this::readMachineList);
    scheduleEvery(CONNECT_INTERVAL_MILLIS, targets::connectAll);
    scheduleEvery(CONNECT_INTERVAL_MILLIS, peers::connectAll);
    scheduleEvery(GOSSIP_INTERVAL_MILLIS, this::gossip);
    startAssignedTasks(orders);
    server.start();
    logger.atInfo().log(
        "%s",
        LogEvent.of("entry.started")
            .with("callerPort", server.port())
            .with("peerPort", membership.self().port()));
  }

  private void addEndpoints(OrderSender orders) {
    newCallerEndpoints().addTo(server);
    new OperatorEndpoints(settings, operatorApi(orders), threads).addTo(server);
    MonitoringEndpoints.addTo(server::add, metrics.registry(), this::isReady);
    metrics.gauge("ibishub_entry_in_flight", "Requests in flight.", server::inFlight);
    metrics.gauge("ibishub_entry_targets", "Links to agents.", targets::linkCount);
    metrics.gauge("ibishub_entry_peers", "Links to other entries.", peers::linkCount);
    metrics.gauge(
        "ibishub_entry_configuration_revision",
        "Revision in force here.",
        () -> configuration.current().revision());
    metrics.gauge(
        "ibishub_entry_evacuated_zones",
        "Zones out of service, as known here.",
        () -> configuration.evacuatedZones().size());
  }

  private CallerEndpoints newCallerEndpoints() {
    RequestContext context =
        new RequestContext(
            settings.zone(),
            targets,
            targets::linkTo,
            router,
            RetryBudget.defaults(),
            clock,
            this::scheduleAt,
            threads,
            () -> ThreadLocalRandom.current().nextLong());
    return new CallerEndpoints(
        settings,
        context,
        server,
        new WorkspaceAuthenticator(configuration::current),
        configuration::current,
        admission,
        addresses,
        this::isServing,
        metrics);
  }

  /**
   * Starts the tasks that one entry runs for all. Membership views may differ, so each task is safe
   * to run on two entries.
   */
  private void startAssignedTasks(OrderSender orders) {
    TaskAssignment tasks = new TaskAssignment(membership);
    PlacementReconciler placements =
        new PlacementReconciler(configuration::current, targets::reports, tasks::ownsTask, orders);
    scheduleEvery(PLACEMENT_INTERVAL_MILLIS, placements::tick);
    GroupControllers controllers =
        new GroupControllers(
            configuration::current,
            targets,
            tasks::ownsTask,
            ExpertBalancer::new,
            membership.self().incarnation(),
            clock);
    targets.addFrameListener(controllers::onFrame);
    scheduleEvery(GROUP_TICK_INTERVAL_MILLIS, controllers::tick);
    ConfigurationSnapshotWriter snapshots =
        ConfigurationSnapshotWriter.create(
            log,
            configuration,
            settings.processId(),
            () -> membership.liveEntries().stream().map(MemberRecord::id).toList(),
            Duration.ofSeconds(settings.logRetentionSeconds()));
    scheduleEvery(SNAPSHOT_INTERVAL_MILLIS, snapshots::appendIfDue);
  }

  private OrderSender newOrderSender() {
    OrderSender orders = new OrderSender(targets::link, clock, timeouts);
    targets.addFrameListener(
        frame -> {
          if (frame.hasOrderReply()) {
            orders.onReply(frame.getOrderReply());
          }
        });
    return orders;
  }

  private OperatorApi operatorApi(OrderSender orders) {
    StatusDocument status = new StatusDocument(configuration, membership, targets, clock);
    return OperatorApi.create(
        configuration, publisher, AuditTrail.on(log), orders, status::json, clock);
  }

  private void onEvacuatedZones(Set<String> zones) {
    router.setEvacuatedZones(zones);
    logger.atInfo().log("%s", LogEvent.of("zones.evacuated").with("zones", new TreeSet<>(zones)));
  }

  private boolean isServing() {
    return !refusingRequests;
  }

  private boolean isReady() {
    return isServing()
        && configuration.isKnown()
        && addresses.servesUntil().isEmpty()
        && targets.linkCount() > 0;
  }

  private void gossip() {
    membership.setLoad(server.inFlight());
    router.setEntries(1 + membership.liveEntries().size());
    peers.sendUpdates();
  }

  private void readMachineList() {
    machineList
        .read()
        .thenAccept(
            machines ->
                membership.applyList(
                    machines.stream().map(MemberConverter::fromList).toList(), clock.instant()));
  }

  private void scheduleAt(Instant when, Runnable task) {
    long millis = Math.max(0, Duration.between(clock.instant(), when).toMillis());
    var unused = timers.schedule(loggingFailures(task), millis, TimeUnit.MILLISECONDS);
  }

  private void scheduleEvery(long millis, Runnable task) {
    var unused =
        timers.scheduleWithFixedDelay(loggingFailures(task), 0, millis, TimeUnit.MILLISECONDS);
  }

  /**
   * Wraps a task so that its exceptions are logged. The executor silently cancels a periodic task
   * that throws.
   */
  private static Runnable loggingFailures(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        logger.atSevere().withCause(e).log("%s", LogEvent.of("timer.failed"));
      }
    };
  }

  private MemberRecord newSelfRecord(long incarnation, int peerPort) {
    String url = settings.callerUrl().orElse("http://" + settings.host() + ":" + server.port());
    return new MemberRecord(
        settings.processId(),
        MemberRole.ENTRY,
        settings.zone(),
        settings.host(),
        peerPort,
        url,
        incarnation,
        0,
        MemberState.ALIVE,
        0);
  }

  private static Optional<TlsContexts> tls(EntrySettings settings) throws IOException {
    if (settings.tls().isEmpty()) {
      return Optional.empty();
    }
    var files = settings.tls().get();
    return Optional.of(
        TlsContexts.read(
            Path.of(files.certificateFile()),
            Path.of(files.keyFile()),
            Path.of(files.trustFile())));
  }
}
