package dev.ibishub.gateway.front;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.entries.LogPosition;
import dev.ibishub.core.serving.ColdLimit;
import dev.ibishub.core.serving.LimitDivision;
import dev.ibishub.core.serving.RequestKind;
import dev.ibishub.core.serving.RetryLimits;
import dev.ibishub.core.serving.SharedLimits;
import dev.ibishub.core.serving.TargetReport;
import dev.ibishub.core.serving.admission.WorkspaceShares;
import dev.ibishub.gateway.callers.CallerServer;
import dev.ibishub.gateway.callers.TestResources;
import dev.ibishub.gateway.model.CallerLimits;
import dev.ibishub.gateway.model.EngineProfile;
import dev.ibishub.gateway.model.Route;
import dev.ibishub.gateway.model.Service;
import dev.ibishub.gateway.model.ServingConfiguration;
import dev.ibishub.gateway.model.Target;
import dev.ibishub.runtime.MonotonicClock;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests admission on the request path, with raw bytes on both sides. */
final class AdmissionFrontTest {
  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
  private static final int TIMEOUT_MILLIS = 60_000;
  private static final int SLOTS = 2;

  /** Long enough that requests still wait for engines when a slow machine runs the test. */
  private static final int CALLER_TIMEOUT_MILLIS = 600_000;

  /** Reports of this age never expire during a test. */
  private static final long FUTURE_MILLIS = 3_600_000;

  private static final EngineProfile ENGINE =
      new EngineProfile(SLOTS, 6, 0.6, 6, 120, 800, 60, 0, 0, 0, 0, 0, 0, 0.5, TIMEOUT_MILLIS);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final CrashDetector crashes = new CrashDetector(any -> {});
  private final ServingConfiguration configuration =
      ServingConfiguration.of(
          1,
          List.of(route("/urgent/", 0), route("/later/", 1)),
          Map.of("s", new Service("s", Optional.of(ENGINE))),
          Map.of(),
          false,
          new CallerLimits(600, 100, 300, 60_000));
  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final TargetLimits limits =
      new TargetLimits(
          new SharedLimits("own", LimitDivision.amongFewHolders()),
          any -> {},
          service -> Optional.of(new ColdLimit(10, 1, 10)),
          registry);
  private final TargetDirectory targets =
      new TargetDirectory("z", crashes::onIncarnationEnded, limits);
  private volatile boolean isLeaving;
  private ServerSocket target;
  private ServiceAdmission admission;
  private CallerServer server;
  private int port;

  private static Route route(String prefix, int priority) {
    return new Route(
        prefix,
        "h",
        prefix,
        RequestKind.RESUMABLE_STREAM,
        CALLER_TIMEOUT_MILLIS,
        TIMEOUT_MILLIS,
        120,
        priority,
        List.of(new Route.Destination("s", 1)),
        2,
        false);
  }

  private final class Stop implements StopPlan {
    @Override
    public boolean isLeaving() {
      return isLeaving;
    }

    @Override
    public boolean mayInterrupt(long deadline) {
      return false;
    }
  }

  @BeforeEach
  void start() throws IOException {
    target = new ServerSocket(0, 10, LOOPBACK);
    target.setSoTimeout(TIMEOUT_MILLIS);
    targets.onAnnounced(
        new Target(
            "t", "s", LOOPBACK.getHostAddress(), target.getLocalPort(), "z", SLOTS, false, 1),
        new LogPosition(1, 1));
    admission =
        new ServiceAdmission(
            AdmissionMode.QUEUE,
            () -> Optional.of(configuration),
            targets,
            () -> 1,
            new Stop(),
            WorkspaceShares.EQUAL,
            registry);
    server =
        new RequestContext(
                new PlainDialect(),
                () -> Optional.of(configuration),
                targets,
                new RetryBudgets(
                    new RetryLimits(1, 10, 10_000),
                    MonotonicClock.millis(),
                    true,
                    new PrometheusRegistry()),
                new ServiceStatistics(),
                crashes,
                limits,
                admission,
                () -> 1,
                new Stop(),
                new RequestMetrics(new PrometheusRegistry()),
                MonotonicClock.millis())
            .newServer(TestResources.ofHeap());
    try (ServerSocket free = new ServerSocket(0, 1, LOOPBACK)) {
      port = free.getLocalPort();
    }
    server.listen(group, new InetSocketAddress(LOOPBACK, port));
    report(40);
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    target.close();
    group.shutdownGracefully();
  }

  private void report(int requests) {
    long now = MonotonicClock.millis();
    targets.onReport(
        LOOPBACK.getHostAddress(), new TargetReport(requests, 1, true, now + FUTURE_MILLIS));
  }

  private Socket send(String path) throws IOException {
    Socket caller = new Socket(LOOPBACK, port);
    caller.setSoTimeout(TIMEOUT_MILLIS);
    String request =
        "POST " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    return caller;
  }

  private static String responseTo(Socket caller) throws IOException {
    return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long deadline = MonotonicClock.millis() + TIMEOUT_MILLIS;
    while (!condition.getAsBoolean()) {
      assertThat(MonotonicClock.millis()).as("time-out").isLessThan(deadline);
      Thread.sleep(5);
    }
  }

  /** Whether a wait has ended in a way, as the metric counts it. */
  private boolean hasWaitEnded(String outcome) {
    return registry.scrape(name -> name.startsWith("ibishub_admission_waits")).stream()
        .flatMap(metric -> metric.getDataPoints().stream())
        .anyMatch(point -> outcome.equals(point.getLabels().get("outcome")));
  }

  private double withheldFromColdTargets() {
    return registry.scrape(name -> name.startsWith("ibishub_withheld")).stream()
        .flatMap(metric -> ((CounterSnapshot) metric).getDataPoints().stream())
        .mapToDouble(CounterSnapshot.CounterDataPointSnapshot::getValue)
        .sum();
  }

  /** Sends requests until one waits, and returns its caller. */
  private Socket sendUntilOneWaits() throws IOException, InterruptedException {
    Socket caller = send("/later/0");
    for (int request = 1; admission.waiting("s") == 0; request++) {
      Thread.sleep(50);
      caller = admission.waiting("s") == 0 ? send("/later/" + request) : caller;
    }
    return caller;
  }

  // Guards against requests that wait for good although a target has room again.
  @Test
  void waitingRequestIsSentOnceTargetHasRoom() throws IOException, InterruptedException {
    try (Socket caller = sendUntilOneWaits()) {
      report(0);
      try (Socket sent = target.accept()) {
        byte[] begin = sent.getInputStream().readNBytes("POST /later/".length());
        assertThat(new String(begin, StandardCharsets.US_ASCII)).isEqualTo("POST /later/");
      }
      assertThat(caller.isConnected()).isTrue();
      assertThat(hasWaitEnded("sent")).isTrue();
    }
  }

  // Guards against callers that are refused after a loss of power, when all engines are cold and
  // the
  // entry, which has just started, has no share of their limits yet.
  @Test
  void requestWaitsForShareOfColdTargets() throws IOException, InterruptedException {
    Target cold =
        new Target("t", "s", LOOPBACK.getHostAddress(), target.getLocalPort(), "z", SLOTS, false, 1)
            .withColdRemainingMillis(FUTURE_MILLIS);
    targets.onAnnounced(cold, new LogPosition(1, 2));
    report(0);
    try (Socket caller = send("/later/0")) {
      await(() -> withheldFromColdTargets() > 1);
      limits.tickCold(Set.of("own"), MonotonicClock.millis());

      try (Socket sent = target.accept()) {
        assertThat(sent.getInputStream().read()).isEqualTo('P');
      }
      assertThat(caller.isConnected()).isTrue();
    }
  }

  // Guards against a request that is sent although its caller has left, and that holds a place.
  @Test
  void callerThatLeavesFreesItsPlace() throws IOException, InterruptedException {
    Socket caller = sendUntilOneWaits();
    caller.close();

    await(() -> hasWaitEnded("withdrawn"));
    assertThat(admission.waiting("s")).isZero();
  }

  // Guards against callers that wait at an entry until its process ends.
  @Test
  void stoppingEntryRefusesWhatWaits() throws IOException, InterruptedException {
    try (Socket caller = sendUntilOneWaits()) {
      isLeaving = true;

      assertThat(responseTo(caller))
          .startsWith("HTTP/1.1 503 ")
          .containsIgnoringCase("retry-after")
          .contains("ENTRY_LEAVING");
    }
  }

  // Guards against other deployments that would be served differently: routes alike, or engines
  // whose timing is not stated.
  @Test
  void admissionAppliesOnlyWhereRoutesDiffer() {
    ServingConfiguration alike =
        ServingConfiguration.of(
            1,
            List.of(route("/one/", 1), route("/two/", 1)),
            configuration.services(),
            Map.of(),
            false,
            CallerLimits.DEFAULTS);
    ServingConfiguration plain =
        ServingConfiguration.of(
            1,
            List.of(route("/one/", 0), route("/two/", 1)),
            Map.of("s", new Service("s", Optional.empty())),
            Map.of(),
            false,
            CallerLimits.DEFAULTS);

    assertThat(AdmissionScope.of(configuration, AdmissionMode.AUTOMATIC).timing("s")).isPresent();
    assertThat(AdmissionScope.of(configuration, AdmissionMode.OFF).timing("s")).isEmpty();
    assertThat(AdmissionScope.of(alike, AdmissionMode.AUTOMATIC).timing("s")).isEmpty();
    assertThat(AdmissionScope.of(alike, AdmissionMode.ON).timing("s")).isPresent();
    assertThat(AdmissionScope.of(plain, AdmissionMode.ON).timing("s")).isEmpty();
  }
}
