package dev.ibishub.gateway.experts;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.runtime.MonotonicClock;
import dev.ibishub.wire.Link;
import dev.ibishub.wire.LinkListener;
import dev.ibishub.wire.WireTransport;
import dev.ibishub.wire.generated.Frame;
import dev.ibishub.wire.generated.RankOrderReply;
import dev.ibishub.wire.generated.RankWatch;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;

/**
 * Links of an entry that hears the agents beside the targets. Thread-safe by one lock.
 *
 * <p>An agent listens at its target's IP number, so nothing has to be told to find it.
 */
public final class RankLinks implements LinkListener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Time between two tries to reach an agent, milliseconds. */
  private static final long DIAL_MILLIS = 500;

  /** Time between two words of the leader that it watches, milliseconds. */
  private static final long WATCH_MILLIS = RankAgent.WATCH_MILLIS / 3;

  /** How long an agent's answer to an order is waited for, milliseconds. */
  private static final long REPLY_MILLIS = 160;

  private final WireTransport transport;
  private final int linkPort;
  private final LoadRelay loads;
  private final RankListener listener;
  private final Map<String, Agent> agents = new HashMap<>();
  private final Map<Link, String> hosts = new ConcurrentHashMap<>();
  private final Map<Long, CompletableFuture<RankOrder.Result>> waiting = new ConcurrentHashMap<>();
  private final AtomicLong lastCall = new AtomicLong();
  private long nextWatchAt;
  private boolean wasWatching;

  /** Told what agents say; {@code host} is the IP number that agent and target share. */
  public interface RankListener {
    void onState(String host, RankState state, long now);

    void onPicks(String host, RankEngine.Picks picks, long now);

    void onMap(String host, RankEngine.HeldMap map);
  }

  private static final class Agent {
    private Link link;
    private boolean isDialing;
    private boolean isAskedForPicks;
    private long nextDialAt;
  }

  /**
   * Creates links to no agent yet.
   *
   * @param linkPort the port at which agents listen
   * @param loads told of the load of targets
   * @param listener told of all that agents say
   */
  public RankLinks(WireTransport transport, int linkPort, LoadRelay loads, RankListener listener) {
    this.transport = transport;
    this.linkPort = linkPort;
    this.loads = loads;
    this.listener = listener;
  }

  /**
   * Opens missing links. To be called often.
   *
   * @param wanted IP numbers of targets beside which there may be an agent
   * @param watches whether this entry wants picks and maps besides the load
   * @param picks tells for a host whether its picks are wanted
   */
  public synchronized void tick(
      Set<String> wanted, boolean watches, Predicate<String> picks, long now) {
    agents.entrySet().removeIf(agent -> closeIfUnwanted(agent.getKey(), agent.getValue(), wanted));
    wanted.forEach(host -> dialIfMissing(host, now));
    if (watches) {
      boolean isDue = now >= nextWatchAt || !wasWatching;
      nextWatchAt = isDue ? now + WATCH_MILLIS : nextWatchAt;
      agents.forEach((host, agent) -> watch(agent, picks.test(host), isDue));
    }
    wasWatching = watches;
  }

  /**
   * Gives an order through the agent at a host.
   *
   * @return what came of it; empty when there is no link, so that nothing was sent
   */
  public Optional<CompletableFuture<RankOrder.Result>> order(String host, RankOrder order) {
    Optional<Link> link = linkTo(host);
    if (link.isEmpty()) {
      return Optional.empty();
    }
    long id = lastCall.incrementAndGet();
    CompletableFuture<RankOrder.Result> reply = new CompletableFuture<>();
    waiting.put(id, reply);
    if (!link.get().offer(RankMessages.order(id, order))) {
      waiting.remove(id);
      return Optional.empty();
    }
    reply
        .completeOnTimeout(RankOrder.Result.UNKNOWN, REPLY_MILLIS, TimeUnit.MILLISECONDS)
        .whenComplete((result, failure) -> waiting.remove(id));
    return Optional.of(reply);
  }

  /** Whether there is a link to the agent at a host. */
  public boolean isLinked(String host) {
    return linkTo(host).isPresent();
  }

  @Override
  public void onOpen(Link link) {
    logger.atInfo().log("%s", LogEvent.of("agent.linked").with("agent", link.peer().processId()));
  }

  @Override
  public void onFrame(Link link, Frame frame) {
    String host = hosts.get(link);
    if (host == null) {
      return;
    }
    long now = MonotonicClock.millis();
    switch (frame.getBodyCase()) {
      case RANK_REPORT -> onReport(host, RankMessages.state(frame.getRankReport()), now);
      case RANK_PICKS -> listener.onPicks(host, RankMessages.picks(frame.getRankPicks()), now);
      case RANK_MAP_REPORT -> listener.onMap(host, RankMessages.map(frame.getRankMapReport()));
      case RANK_ORDER_REPLY -> onReply(frame.getRankOrderReply());
      default ->
          logger.atWarning().log(
              "%s", LogEvent.of("link.unexpected").with("frame", frame.getBodyCase()));
    }
  }

  @Override
  public void onClose(Link link) {
    String host = hosts.remove(link);
    logger.atInfo().log(
        "%s",
        LogEvent.of("agent.lost")
            .with("agent", link.peer().processId())
            .with("host", String.valueOf(host)));
  }

  private void onReport(String host, RankState state, long now) {
    loads.onReport(host, state.load(now));
    listener.onState(host, state, now);
  }

  private void onReply(RankOrderReply reply) {
    CompletableFuture<RankOrder.Result> waits = waiting.get(reply.getCallId());
    if (waits != null) {
      waits.complete(RankMessages.result(reply));
    }
  }

  private synchronized Optional<Link> linkTo(String host) {
    return Optional.ofNullable(agents.get(host)).map(agent -> agent.link).filter(Link::isOpen);
  }

  /** Tells an agent that this entry watches it, when that is due or the wish for picks changed. */
  private static void watch(Agent agent, boolean wantsPicks, boolean isDue) {
    boolean isNews = isDue || agent.isAskedForPicks != wantsPicks;
    if (isNews && agent.link != null && agent.link.isOpen()) {
      agent.isAskedForPicks = wantsPicks;
      agent.link.offer(
          Frame.newBuilder()
              .setRankWatch(RankWatch.newBuilder().setWithoutPicks(!wantsPicks))
              .build());
    }
  }

  private static boolean closeIfUnwanted(String host, Agent agent, Set<String> wanted) {
    if (wanted.contains(host)) {
      return false;
    }
    if (agent.link != null) {
      agent.link.close();
    }
    return !agent.isDialing;
  }

  private void dialIfMissing(String host, long now) {
    Agent agent = agents.computeIfAbsent(host, any -> new Agent());
    boolean isLinked = agent.link != null && agent.link.isOpen();
    if (isLinked || agent.isDialing || now < agent.nextDialAt) {
      return;
    }
    agent.isDialing = true;
    transport
        .connect(host, linkPort, this)
        .whenComplete((link, failure) -> onDialed(host, agent, link));
  }

  private synchronized void onDialed(String host, Agent agent, Link link) {
    agent.isDialing = false;
    agent.nextDialAt = MonotonicClock.millis() + DIAL_MILLIS;
    agent.link = link;
    if (link != null) {
      hosts.put(link, host);
      if (wasWatching) {
        // Waiting for the next word to all cost the first map after a loss of power 0.4 s.
        watch(agent, true, true);
      }
    }
  }
}
