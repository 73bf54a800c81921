package dev.ibishub.agent;

import com.google.common.flogger.FluentLogger;
import com.sun.net.httpserver.HttpServer;
import dev.ibishub.core.AttemptTable;
import dev.ibishub.core.AttemptTableOptions;
import dev.ibishub.core.ConcurrencyLimit;
import dev.ibishub.core.ConcurrencyLimitOptions;
import dev.ibishub.core.ProcessIncarnation;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.StreamBuffers;
import dev.ibishub.engines.HttpModelEngine;
import dev.ibishub.engines.HttpPlainService;
import dev.ibishub.engines.ModelEngine;
import dev.ibishub.outbound.AppendOnlyLog;
import dev.ibishub.outbound.HttpAppendOnlyLog;
import dev.ibishub.outbound.HttpVirtualMachineList;
import dev.ibishub.outbound.HttpWeightStore;
import dev.ibishub.outbound.OutboundHttp;
import dev.ibishub.outbound.VirtualMachineList;
import dev.ibishub.outbound.WeightReservation;
import dev.ibishub.outbound.WeightStore;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.runtime.MonitoringEndpoints;
import dev.ibishub.runtime.Timeouts;
import dev.ibishub.settings.AgentSettings;
import dev.ibishub.settings.AgentSettings.Kind;
import dev.ibishub.wire.Identity;
import dev.ibishub.wire.TlsContexts;
import dev.ibishub.wire.WireTransport;
import dev.ibishub.wire.generated.GroupCommand;
import dev.ibishub.wire.generated.GroupReply;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;

/**
 * An agent process behind ibishub's own interface: creates, starts and stops its parts. On the
 * platform of its users, {@code dev.ibishub.node.AgentNode} has this role.
 */
public final class Agent {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long REPORT_PERIOD_MILLIS = 100;
  private static final long IDLE_REPORT_PERIOD_MILLIS = 1_000;
  private static final long TICK_PERIOD_MILLIS = 50;
  private static final long STATE_PERIOD_MILLIS = 500;
  private static final long LIST_PERIOD_MILLIS = 2_000;
  private static final int MAXIMUM_KEPT_ANSWERS = 4_096;

  /** Bytes reserved at the weight store before a model is loaded. */
  private static final long RESERVED_MODEL_BYTES = 64L << 20;

  /** How long after the end of its call an order to the engine may still take effect. */
  private static final Duration SETTLING_TIME = Duration.ofSeconds(2);

  private static final Duration ORPHAN_TIMEOUT = Duration.ofSeconds(15);
  private static final Duration ANSWER_RETENTION = Duration.ofSeconds(60);

  private final AgentSettings settings;
  private final InstantSource clock = InstantSource.system();
  private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2);
  private final ExecutorService httpThreads = Executors.newCachedThreadPool();
  private final Timeouts timeouts = Timeouts.on(timers, httpThreads);
  private final AgentMetrics metrics = new AgentMetrics();
  private final Identity identity;
  private final WireTransport transport;
  private final VirtualMachineList machineList;
  private final Optional<ClaimWriter> claims;
  private final AttemptRunner runner;
  private final AgentLinks links;
  private final TargetReporter reporter;
  private volatile Instant nextIdleReportAt = Instant.EPOCH;

  private Agent(AgentSettings settings, Optional<TlsContexts> tls) {
    this.settings = settings;
    // Wall-clock milliseconds, because the incarnation must grow with each start of the process.
    long incarnation = clock.millis();
    this.identity = new Identity(settings.targetId(), "agent", settings.zone(), incarnation);
    this.transport = WireTransport.create(identity, tls);
    HttpClient client = OutboundHttp.newClient(httpThreads);
    this.machineList =
        HttpVirtualMachineList.create(URI.create(settings.virtualMachineListUrl()), client);
    Optional<ModelEngine> engine =
        settings.engineUrl().map(url -> HttpModelEngine.create(URI.create(url), client));
    AppendOnlyLog log = HttpAppendOnlyLog.create(URI.create(settings.logUrl()), client);
    this.claims =
        settings.kind() == Kind.SERVICE ? Optional.of(claimWriter(log)) : Optional.empty();
    StreamBuffers buffers = StreamBuffers.create(bufferBytes(settings), MAXIMUM_KEPT_ANSWERS);
    Backend backend =
        engine
            .<Backend>map(present -> new ModelBackend(present, buffers, clock))
            .orElseGet(() -> serviceBackend(client, buffers));
    this.runner =
        new AttemptRunner(
            new AttemptRunner.RunnerOptions(
                settings.maximumQueued(), ORPHAN_TIMEOUT, ANSWER_RETENTION),
            buffers,
            AttemptTable.create(AttemptTableOptions.defaults()),
            ConcurrencyLimit.create(limits(settings)),
            backend,
            clock,
            metrics);
    this.reporter = new TargetReporter(settings, runner, engine, () -> 0, clock);
    WeightStore weights = weightStore(settings, client);
    OrderHandler orders =
        new OrderHandler(
            runner, orderController(engine, log, weights), this::beginLeaving, this::endLeaving);
    this.links =
        new AgentLinks(
            runner,
            orders::handle,
            groupCommands(engine, weights),
            link -> link.offer(reporter.report()));
  }

  /**
   * Starts an agent.
   *
   * @param settings validated settings
   * @return the running agent; fails with {@code TARGET_UNREACHABLE} when the port for entries
   *     cannot be bound
   * @throws IOException if a key file cannot be read or the metrics port cannot be bound
   */
  public static Agent start(AgentSettings settings) throws IOException {
    Agent agent = new Agent(settings, tls(settings));
    agent.open();
    return agent;
  }

  /**
   * Stops accepting work and shuts down once the started attempts have ended and their answers have
   * been sent, or the drain time is over. Blocks until then.
   */
  public void drain() {
    Instant deadline = clock.instant().plusSeconds(settings.drainSeconds());
    beginLeaving("stop");
    while (!(runner.isIdle() && links.isFlushed()) && clock.instant().isBefore(deadline)) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(TICK_PERIOD_MILLIS));
    }
    logger.atInfo().log("%s", LogEvent.of("agent.drained").with("complete", runner.isIdle()));
    close();
  }

  private void close() {
    timers.shutdownNow();
    claims.ifPresent(ClaimWriter::close);
    transport.close();
    httpThreads.shutdown();
  }

  private void open() throws IOException {
    int port = transport.listen(settings.host(), settings.port(), links).join();
    HttpServer metricsServer =
        HttpServer.create(new InetSocketAddress(settings.host(), settings.metricsPort()), 0);
    MonitoringEndpoints.addTo(metricsServer::createContext, metrics.registry(), this::isReady);
    metricsServer.start();
    metrics.gauge("ibishub_agent_queued", "Attempts that wait.", runner::queued);
    metrics.gauge("ibishub_agent_running", "Attempts that run.", runner::running);
    metrics.gauge("ibishub_agent_limit", "Attempts that may run at once.", runner::limit);
    every(TICK_PERIOD_MILLIS, runner::tick);
    every(REPORT_PERIOD_MILLIS, this::reportIfDue);
    every(STATE_PERIOD_MILLIS, reporter::refreshState);
    every(STATE_PERIOD_MILLIS, this::returnQueuedIfUnreachable);
    every(STATE_PERIOD_MILLIS, () -> reporter.refreshCache(links::sendToAll));
    every(LIST_PERIOD_MILLIS, this::readMachineList);
    logger.atInfo().log(
        "%s",
        LogEvent.of("agent.started")
            .with("port", port)
            .with("metricsPort", metricsServer.getAddress().getPort())
            .with("incarnation", identity.incarnation()));
  }

  private boolean isReady() {
    return !runner.isLeaving()
        && reporter.isReachable()
        && claims.map(ClaimWriter::isReady).orElse(true);
  }

  /** Reports ten times a second while there is work, else once a second. */
  private void reportIfDue() {
    Instant now = clock.instant();
    boolean busy = runner.running() > 0 || runner.queued() > 0;
    if (!busy && now.isBefore(nextIdleReportAt)) {
      return;
    }
    nextIdleReportAt = now.plusMillis(IDLE_REPORT_PERIOD_MILLIS);
    reporter.refreshLoad();
    links.sendToAll(reporter.report());
  }

  /**
   * Returns queued attempts to the entries while the engine does not answer. The links to the
   * entries stay up, so otherwise the attempts would wait here until their deadline.
   */
  private void returnQueuedIfUnreachable() {
    if (!reporter.isReachable()) {
      runner.returnQueued(ResultCode.TARGET_UNREACHABLE, "the engine does not answer");
    }
  }

  private void beginLeaving(String toldBy) {
    if (!runner.isLeaving()) {
      logger.atInfo().log("%s", LogEvent.of("agent.leaving").with("toldBy", toldBy));
    }
    runner.beginLeaving();
    links.sendToAll(reporter.report());
  }

  private void readMachineList() {
    machineList
        .read()
        .thenAccept(
            machines ->
                machines.stream()
                    .filter(machine -> machine.id().equals(settings.targetId()))
                    .filter(machine -> machine.leaving() && !runner.isLeaving())
                    .forEach(machine -> beginLeaving("virtual-machine-list")));
  }

  private void endLeaving() {
    runner.endLeaving();
    links.sendToAll(reporter.report());
  }

  private Optional<OrderController> orderController(
      Optional<ModelEngine> engine, AppendOnlyLog log, WeightStore weights) {
    return engine.map(
        present ->
            new OrderController(
                present,
                weights,
                order -> new WeightReservation(order.getModel(), RESERVED_MODEL_BYTES),
                () -> FencingTokens.highest(log, settings.site(), clock, timeouts),
                SETTLING_TIME,
                clock));
  }

  /** Returns the handler of a group leader's commands; it refuses all if there is no group. */
  private Function<GroupCommand, CompletableFuture<GroupReply>> groupCommands(
      Optional<ModelEngine> engine, WeightStore weights) {
    if (engine.isEmpty() || settings.group().isEmpty()) {
      return Agent::refuseGroup;
    }
    RankController controller =
        new RankController(
            engine.get(),
            weights,
            command -> new WeightReservation(settings.group().get(), command.getMap().size()),
            settings.group().get(),
            settings.rank().orElse(0),
            SETTLING_TIME,
            clock);
    return controller::handle;
  }

  private static CompletableFuture<GroupReply> refuseGroup(GroupCommand command) {
    return CompletableFuture.completedFuture(
        GroupReply.newBuilder()
            .setGroup(command.getGroup())
            .setSequence(command.getSequence())
            .setResultCode(ResultCode.NOT_FOUND.number())
            .build());
  }

  private static WeightStore weightStore(AgentSettings settings, HttpClient client) {
    return settings
        .weightStoreUrl()
        .<WeightStore>map(url -> HttpWeightStore.create(URI.create(url), client))
        .orElse((weights, bytes) -> CompletableFuture.completedFuture(null));
  }

  private ClaimWriter claimWriter(AppendOnlyLog log) {
    return ClaimWriter.start(
        log,
        new ProcessIncarnation(settings.targetId(), identity.incarnation()),
        ClaimWriterOptions.defaults(),
        clock,
        Timer.on(timers, clock));
  }

  private Backend serviceBackend(HttpClient client, StreamBuffers buffers) {
    return new ServiceBackend(
        HttpPlainService.create(URI.create(settings.serviceUrl().orElseThrow()), client),
        claims.orElseThrow(),
        buffers,
        clock);
  }

  private void every(long millis, Runnable task) {
    Runnable guardedTask =
        () -> {
          try {
            task.run();
          } catch (RuntimeException e) {
            // The executor silently stops a periodic task that throws.
            logger.atSevere().withCause(e).log("%s", LogEvent.of("timer.failed"));
          }
        };
    var unused = timers.scheduleWithFixedDelay(guardedTask, 0, millis, TimeUnit.MILLISECONDS);
  }

  private static long bufferBytes(AgentSettings settings) {
    return settings.kind() == Kind.SERVICE
        ? settings.keptAnswerBytes()
        : (long) settings.streamBufferBytes() * settings.maximumConcurrency();
  }

  private static ConcurrencyLimitOptions limits(AgentSettings settings) {
    ConcurrencyLimitOptions defaults = ConcurrencyLimitOptions.defaults();
    int maximum = settings.maximumConcurrency();
    return new ConcurrencyLimitOptions(
        Math.min(defaults.minimum(), maximum),
        Math.min(defaults.initial(), maximum),
        maximum,
        defaults.targetSecondsPerToken(),
        defaults.tolerance(),
        defaults.reserved());
  }

  private static Optional<TlsContexts> tls(AgentSettings settings) throws IOException {
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
