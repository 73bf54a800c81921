package dev.ibishub.gateway.front;

import dev.ibishub.core.entries.LogPosition;
import dev.ibishub.core.serving.LimitDivision;
import dev.ibishub.core.serving.RequestKind;
import dev.ibishub.core.serving.RetryLimits;
import dev.ibishub.core.serving.SharedLimits;
import dev.ibishub.core.serving.admission.WorkspaceShares;
import dev.ibishub.gateway.callers.CallerServer;
import dev.ibishub.gateway.callers.TestResources;
import dev.ibishub.gateway.membership.PeerMesh;
import dev.ibishub.gateway.model.CallerLimits;
import dev.ibishub.gateway.model.Route;
import dev.ibishub.gateway.model.ServingConfiguration;
import dev.ibishub.gateway.model.Target;
import dev.ibishub.runtime.MonotonicClock;
import dev.ibishub.wire.generated.Frame;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** Entries in one process that serve callers over real connections and exchange their findings. */
final class EntryFleet implements AutoCloseable {
  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
  private static final String SERVICE = "s";
  private static final int TIMEOUT_MILLIS = 8_000;

  /** How long a caller waits for the next bytes, milliseconds. */
  private static final int PATIENCE_MILLIS = 2_000;

  /** Delay of a message between two entries, milliseconds. */
  private static final int LINK_MILLIS = 3;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final ServingConfiguration configuration =
      ServingConfiguration.of(
          1,
          List.of(
              new Route(
                  "/stream/",
                  "h",
                  "/stream/",
                  RequestKind.RESUMABLE_STREAM,
                  TIMEOUT_MILLIS,
                  500,
                  0,
                  0,
                  List.of(new Route.Destination(SERVICE, 1)),
                  2,
                  false)),
          Map.of(),
          Map.of(),
          false,
          new CallerLimits(4_000, 1_000, 3_000, 60_000));
  private final List<Entry> entries = new CopyOnWriteArrayList<>();
  private long position;

  /** One entry. */
  private final class Entry {
    private final CrashDetector crashes = new CrashDetector(this::broadcast);
    private final TargetDirectory targets = new TargetDirectory("z", crashes::onIncarnationEnded);
    private final CallerServer server = context().newServer(TestResources.ofHeap());
    private final int port;

    Entry() throws IOException {
      try (ServerSocket free = new ServerSocket(0, 1, LOOPBACK)) {
        port = free.getLocalPort();
      }
      server.listen(group, new InetSocketAddress(LOOPBACK, port));
    }

    private void broadcast(Frame frame) {
      entries.stream()
          .filter(other -> !other.equals(this))
          .forEach(
              other ->
                  group.schedule(
                      () -> {
                        other.onFrame(this, frame);
                      },
                      LINK_MILLIS,
                      TimeUnit.MILLISECONDS));
    }

    private void onFrame(Entry other, Frame frame) {
      PeerMesh.Sender sender =
          new PeerMesh.Sender(
              reply -> group.execute(() -> other.onFrame(this, reply)), forwarded -> {});
      if (frame.hasCrashDigest()) {
        crashes.onDigest(frame.getCrashDigest(), sender);
      } else {
        crashes.onReport(frame.getCrashReport(), sender);
      }
    }

    private RequestContext context() {
      StopPlan stop = new NeverStops();
      return new RequestContext(
          new PlainDialect(),
          () -> Optional.of(configuration),
          targets,
          new RetryBudgets(
              new RetryLimits(1, 1_000, 10_000),
              MonotonicClock.millis(),
              true,
              new PrometheusRegistry()),
          new ServiceStatistics(),
          crashes,
          new TargetLimits(
              new SharedLimits("own", LimitDivision.amongFewHolders()),
              any -> {},
              new PrometheusRegistry()),
          new ServiceAdmission(
              AdmissionMode.AUTOMATIC,
              () -> Optional.of(configuration),
              targets,
              entries::size,
              stop,
              WorkspaceShares.EQUAL,
              new PrometheusRegistry()),
          entries::size,
          stop,
          new RequestMetrics(new PrometheusRegistry()),
          MonotonicClock.millis());
    }
  }

  /** Starts one more entry, which gets the findings of the others before it serves. */
  void addEntry() throws IOException {
    Entry added = new Entry();
    entries.stream()
        .findFirst()
        .ifPresent(
            first ->
                first.crashes.onDigest(
                    added.crashes.digest().getCrashDigest(),
                    new PeerMesh.Sender(reply -> added.onFrame(first, reply), forwarded -> {})));
    entries.add(added);
  }

  /** Announces a target to all entries. */
  void announce(String id, int port) {
    announceTo(entries, id, port);
  }

  /** Announces a target to the newest entry. */
  void announceToNewest(String id, int port) {
    announceTo(entries.subList(entries.size() - 1, entries.size()), id, port);
  }

  private synchronized void announceTo(List<Entry> to, String id, int port) {
    position++;
    LogPosition at = new LogPosition(1, position);
    to.forEach(
        entry ->
            entry.targets.onAnnounced(
                new Target(id, SERVICE, LOOPBACK.getHostAddress(), port, "z", 8, false, 1), at));
  }

  /** Tells all entries that a target's record is gone. */
  void drop(String id) {
    entries.forEach(entry -> entry.targets.onDropped(id, 0, MonotonicClock.millis()));
  }

  /**
   * Sends a request to an entry.
   *
   * @param number the entry, from 0
   * @param name makes the request differ from all others
   * @param parts the parts of its prompt that others share
   * @return all that the caller receives
   */
  String call(int number, String name, List<String> parts) throws IOException {
    try (Socket caller = new Socket(LOOPBACK, entries.get(number).port)) {
      caller.setSoTimeout(PATIENCE_MILLIS);
      String request =
          "GET /stream/%s HTTP/1.1\r\nHost: h\r\nid: %s\r\nparts: %s\r\nConnection: close\r\n\r\n"
              .formatted(name, name, String.join(",", parts));
      caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      caller.getOutputStream().flush();
      return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }
  }

  int size() {
    return entries.size();
  }

  @Override
  public void close() {
    entries.forEach(entry -> entry.server.close());
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }
}
