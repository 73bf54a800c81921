package dev.ibishub.gateway.front;

import dev.ibishub.core.entries.LogPosition;
import dev.ibishub.core.serving.LimitDivision;
import dev.ibishub.core.serving.RequestKind;
import dev.ibishub.core.serving.RetryLimits;
import dev.ibishub.core.serving.SharedLimits;
import dev.ibishub.core.serving.admission.WorkspaceShares;
import dev.ibishub.gateway.callers.CallerMemory;
import dev.ibishub.gateway.callers.CallerServer;
import dev.ibishub.gateway.callers.TestResources;
import dev.ibishub.gateway.model.CallerLimits;
import dev.ibishub.gateway.model.Route;
import dev.ibishub.gateway.model.ServingConfiguration;
import dev.ibishub.gateway.model.Target;
import dev.ibishub.runtime.MonotonicClock;
import dev.ibishub.wire.generated.Frame;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.function.Supplier;
import java.util.stream.IntStream;

/** One entry that serves callers over real connections, for tests that play callers and targets. */
final class TestEntry implements AutoCloseable {
  static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  /** Longest wait of a test for bytes or connections, milliseconds. */
  static final int TIMEOUT_MILLIS = 60_000;

  /** Requests that count before the first one, so that no test depends on the retry budget. */
  private static final int EARLIER_REQUESTS = 10;

  private static final String SERVICE = "s";

  /** What the request path calls and a test can make fail. */
  enum Collaborator {
    REPORTS,
    ENTRY_COUNT,
    STOP_PLAN,
    CONFIGURATION,
    TARGET_HEADERS
  }

  /** The plain dialect, which can fail to write the headers for a target. */
  private final class FailingDialect implements RequestDialect {
    private final RequestDialect dialect = new PlainDialect();

    @Override
    public void writeTargetHeaders(HttpHeaders headers, TargetRequest request) {
      throwIfFailing(Collaborator.TARGET_HEADERS);
      dialect.writeTargetHeaders(headers, request);
    }

    @Override
    public CallerRequest read(HttpRequest request) {
      return dialect.read(request);
    }

    @Override
    public TargetResponse read(HttpResponse response) {
      return dialect.read(response);
    }
  }

  /** The plan of an entry that never stops. */
  private final class FailingStopPlan implements StopPlan {
    private final StopPlan plan = new NeverStops();

    @Override
    public boolean isLeaving() {
      throwIfFailing(Collaborator.STOP_PLAN);
      return plan.isLeaving();
    }

    @Override
    public boolean mayInterrupt(long deadline) {
      throwIfFailing(Collaborator.STOP_PLAN);
      return plan.mayInterrupt(deadline);
    }
  }

  private static final long AIM_MILLIS = 500;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final List<Frame> broadcasts = new CopyOnWriteArrayList<>();
  private final CrashDetector crashes = new CrashDetector(this::broadcast);
  private final TargetDirectory targets = new TargetDirectory("z", crashes::onIncarnationEnded);
  private final CallerServer server;
  private final int port;
  private final Set<Collaborator> failing = ConcurrentHashMap.newKeySet();

  /** Starts an entry without targets. */
  TestEntry(Supplier<Optional<ServingConfiguration>> configurations) throws IOException {
    this(configurations, new CallerMemory(() -> 0));
  }

  /** Starts an entry without targets, and with the given memory for callers. */
  TestEntry(Supplier<Optional<ServingConfiguration>> configurations, CallerMemory memory)
      throws IOException {
    Supplier<Optional<ServingConfiguration>> configuration =
        () -> {
          throwIfFailing(Collaborator.CONFIGURATION);
          return configurations.get();
        };
    StopPlan stop = new FailingStopPlan();
    RetryBudgets budgets =
        new RetryBudgets(
            new RetryLimits(1, 10, 10_000),
            MonotonicClock.millis(),
            true,
            new PrometheusRegistry());
    IntStream.range(0, EARLIER_REQUESTS)
        .forEach(any -> budgets.onRequest(SERVICE, MonotonicClock.millis()));
    server =
        new RequestContext(
                new FailingDialect(),
                configuration,
                targets,
                budgets,
                new ServiceStatistics(),
                crashes,
                new TargetLimits(
                    new SharedLimits("own", LimitDivision.amongFewHolders()),
                    broadcasts::add,
                    new PrometheusRegistry()),
                new ServiceAdmission(
                    AdmissionMode.AUTOMATIC,
                    configuration,
                    targets,
                    this::countEntries,
                    stop,
                    WorkspaceShares.EQUAL,
                    new PrometheusRegistry()),
                this::countEntries,
                stop,
                new RequestMetrics(new PrometheusRegistry()),
                MonotonicClock.millis())
            .newServer(TestResources.of(memory));
    try (ServerSocket free = new ServerSocket(0, 1, LOOPBACK)) {
      port = free.getLocalPort();
    }
    server.listen(group, new InetSocketAddress(LOOPBACK, port));
  }

  /** Starts an entry without targets whose configuration never changes. */
  static TestEntry start(CallerLimits limits, Route... routes) {
    Optional<ServingConfiguration> configuration = Optional.of(configuration(limits, routes));
    try {
      return new TestEntry(() -> configuration);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static ServingConfiguration configuration(CallerLimits limits, Route... routes) {
    return ServingConfiguration.of(1, List.of(routes), Map.of(), Map.of(), false, limits);
  }

  /** Returns a route to the only service; its requests may run on two targets if repeatable. */
  static Route route(String prefix, RequestKind kind) {
    return route(prefix, kind, TIMEOUT_MILLIS);
  }

  static Route route(String prefix, RequestKind kind, int timeoutMillis) {
    return new Route(
        prefix,
        "h",
        prefix,
        kind,
        timeoutMillis,
        AIM_MILLIS,
        0,
        0,
        List.of(new Route.Destination(SERVICE, 1)),
        kind.isRepeatable() ? 2 : 1,
        false);
  }

  /** Connects a caller. */
  Socket connect() throws IOException {
    return new Socket(LOOPBACK, port);
  }

  /** Opens the port of a target, and announces it. */
  ServerSocket announce(String id) throws IOException {
    return announce(id, 10);
  }

  /**
   * Opens the port of a target, and announces it.
   *
   * @param backlog how many connections may wait to be accepted, as for {@link ServerSocket}
   */
  ServerSocket announce(String id, int backlog) throws IOException {
    ServerSocket target = new ServerSocket(0, backlog, LOOPBACK);
    target.setSoTimeout(TIMEOUT_MILLIS);
    targets.onAnnounced(
        new Target(id, SERVICE, LOOPBACK.getHostAddress(), target.getLocalPort(), "z", 2, false, 1),
        new LogPosition(1, 1));
    return target;
  }

  InetSocketAddress address() {
    return new InetSocketAddress(LOOPBACK, port);
  }

  TargetDirectory targets() {
    return targets;
  }

  private void broadcast(Frame frame) {
    throwIfFailing(Collaborator.REPORTS);
    broadcasts.add(frame);
  }

  /** Makes each call of some collaborators of the request path throw. */
  void fail(Set<Collaborator> collaborators) {
    failing.addAll(collaborators);
  }

  private void throwIfFailing(Collaborator collaborator) {
    if (failing.contains(collaborator)) {
      throw new IllegalStateException(collaborator + " fails");
    }
  }

  private int countEntries() {
    throwIfFailing(Collaborator.ENTRY_COUNT);
    return 1;
  }

  CrashDetector crashes() {
    return crashes;
  }

  /** Returns the incarnation of an announced target. */
  String incarnation(String id) {
    return targets.usable(SERVICE).stream()
        .map(listed -> listed.target())
        .filter(each -> each.id().equals(id))
        .findFirst()
        .orElseThrow()
        .incarnation();
  }

  /** Holds the event loop until the returned action is run. */
  Runnable holdLoop() throws InterruptedException {
    CountDownLatch held = new CountDownLatch(1);
    CompletableFuture<Void> released = new CompletableFuture<>();
    group.execute(
        () -> {
          held.countDown();
          released.join();
        });
    held.await();
    return () -> released.complete(null);
  }

  /** Returns the messages that the entry sent to other entries. */
  List<Frame> broadcasts() {
    return broadcasts;
  }

  @Override
  public void close() {
    server.close();
    group.shutdownGracefully();
  }
}
