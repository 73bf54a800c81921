package dev.ibishub.gateway.experts;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.entries.LogPosition;
import dev.ibishub.gateway.front.TargetDirectory;
import dev.ibishub.gateway.model.CallerLimits;
import dev.ibishub.gateway.model.EngineProfile;
import dev.ibishub.gateway.model.Service;
import dev.ibishub.gateway.model.ServingConfiguration;
import dev.ibishub.gateway.model.Target;
import dev.ibishub.runtime.MonotonicClock;
import dev.ibishub.runtime.Timeouts;
import dev.ibishub.wire.Identity;
import dev.ibishub.wire.Link;
import dev.ibishub.wire.LinkLimits;
import dev.ibishub.wire.LinkListener;
import dev.ibishub.wire.WireTransport;
import dev.ibishub.wire.generated.Frame;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Orders that agents don't answer, on the event loop that an entry runs on. */
final class OrderTimeoutTest {
  private static final EngineProfile ENGINE =
      new EngineProfile(8, 5, 2, 6, 150, 800, 75, 1, 4, 3, 2, 100, 100_000, 0.85, 600);

  private static final int RANKS = 2;

  /** Several times the timeout of an order, and less than the timeout of a link. */
  private static final long TICK_MILLIS = 800;

  private static final long STANDSTILL_SECONDS = 20;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final WireTransport transport =
      WireTransport.createOnGroup(
          new Identity("entry-1", "entry", "z", 1), group, new LinkLimits(100, 1 << 20));
  private final WireTransport agents =
      WireTransport.create(new Identity("agent", "agent", "z", 2), Optional.empty());
  private final TargetDirectory targets = new TargetDirectory("z");
  private final Set<String> orderingThreads = ConcurrentHashMap.newKeySet();
  private final CountDownLatch orderedAgain = new CountDownLatch(RANKS + 1);
  private final ExpertController controller =
      new ExpertController(
          targets, () -> Optional.of(configuration()), this::order, InstantSource.system());
  private RankLinks links;

  /** An agent that takes orders and doesn't answer. */
  private static final class SilentAgent implements LinkListener {
    @Override
    public void onOpen(Link link) {}

    @Override
    public void onFrame(Link link, Frame frame) {}

    @Override
    public void onClose(Link link) {}
  }

  private CompletableFuture<RankOrder.Result> order(Target target, RankOrder order) {
    orderingThreads.add(Thread.currentThread().getName());
    orderedAgain.countDown();
    return links.order(target.host(), order).orElseThrow();
  }

  private static ServingConfiguration configuration() {
    return ServingConfiguration.of(
        1,
        List.of(),
        Map.of("models", new Service("models", Optional.of(ENGINE))),
        Map.of(),
        false,
        CallerLimits.DEFAULTS);
  }

  private static String host(int rank) {
    return "127.0.4." + (rank + 1);
  }

  private static Set<String> hosts() {
    return IntStream.range(0, RANKS).mapToObj(OrderTimeoutTest::host).collect(Collectors.toSet());
  }

  @BeforeEach
  void linkAgents() throws Exception {
    int port = agents.listen(host(0), 0, new SilentAgent()).get(10, TimeUnit.SECONDS);
    agents.listen(host(1), port, new SilentAgent()).get(10, TimeUnit.SECONDS);
    for (int rank = 0; rank < RANKS; rank++) {
      targets.onAnnounced(
          new Target("t" + rank, "models", host(rank), 80, "z", 8, false, 1),
          new LogPosition(1, rank));
    }
    links =
        new RankLinks(
            transport, port, new LoadRelay(targets, frame -> {}), controller, Timeouts.on(loop));
    while (!loop.submit(() -> hosts().stream().allMatch(links::isLinked)).get()) {
      loop.submit(() -> links.tick(hosts(), true, host -> true, MonotonicClock.millis())).get();
      Thread.sleep(10);
    }
  }

  @AfterEach
  void stop() {
    transport.close();
    agents.close();
  }

  /** Makes the demand uneven enough that the leader prepares a new map at all ranks. */
  private void startSwitch() {
    long now = MonotonicClock.millis();
    controller.tick(true, now - 700);
    for (int rank = 0; rank < RANKS; rank++) {
      controller.onMap(host(rank), new RankEngine.HeldMap(2, 0, new int[][] {{rank, rank + 2}}));
      controller.onState(host(rank), state(rank), now - 650);
    }
    for (long at = 100; at <= 600; at += 100) {
      for (int rank = 0; rank < RANKS; rank++) {
        long[] counts = {at * 90, at, at * 90, at};
        controller.onPicks(host(rank), new RankEngine.Picks(2, counts), now - 700 + at);
      }
    }
    for (int rank = 0; rank < RANKS; rank++) {
      controller.onState(host(rank), state(rank), now - 50);
    }
    controller.tick(true, now);
  }

  private static RankState state(int rank) {
    return new RankState(
        3,
        0,
        1,
        Optional.of(
            new RankState.Membership(
                "g", 2, rank, RANKS, true, 7, 0, 0, 0, 0, OptionalLong.empty())));
  }

  // Guards against an entry that hangs for good. Its event loop, inside of a tick of the links, and
  // the thread on which an order timed out waited for each other's locks.
  @Test
  void orderThatTimesOutDuringTickDoesNotStopEventLoop() throws Exception {
    loop.submit(this::startSwitch).get();
    long now = MonotonicClock.millis();
    long tickEndsAt = now + TICK_MILLIS;

    Future<?> tick =
        loop.submit(
            () -> links.tick(hosts(), true, host -> wantsPicksLater(host, tickEndsAt), now));

    assertThat(endsInTime(tick)).isTrue();
    assertThat(orderedAgain.await(STANDSTILL_SECONDS, TimeUnit.SECONDS)).isTrue();
    String loopThread = loop.submit(() -> Thread.currentThread().getName()).get();
    assertThat(orderingThreads).containsExactly(loopThread);
  }

  /**
   * Asks the controller at the end of the tick, or as soon as another thread that has a lock of the
   * controller sends an order.
   */
  private boolean wantsPicksLater(String host, long tickEndsAt) {
    try {
      orderedAgain.await(tickEndsAt - MonotonicClock.millis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return controller.wantsPicks(host);
  }

  private static boolean endsInTime(Future<?> task)
      throws InterruptedException, ExecutionException {
    try {
      task.get(STANDSTILL_SECONDS, TimeUnit.SECONDS);
      return true;
    } catch (TimeoutException e) {
      return false;
    }
  }
}
