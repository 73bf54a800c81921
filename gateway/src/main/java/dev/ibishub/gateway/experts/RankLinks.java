package dev.ibishub.gateway.experts;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.runtime.MonotonicClock;
import dev.ibishub.runtime.ThreadConfinement;
import dev.ibishub.runtime.Timeouts;
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
import java.util.function.Predicate;

/**
 * The links of an entry to the agents beside targets. Not thread-safe: all methods are called on
 * the event loop of the transport, and replies to orders, timeouts included, complete on it.
 *
 * <p>An agent listens at the IP number of its target, so no discovery is needed.
 *
 * <p>Used on the platform of ibishub's users; the counterpart behind ibishub's own interface is
 * {@code dev.ibishub.entry.TargetLinks}.
 */
public final class RankLinks implements LinkListener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Delay between two attempts to connect to an agent, milliseconds. */
  private static final long CONNECT_RETRY_MILLIS = 500;

  /** Interval between two renewals of the watch on an agent, milliseconds. */
  private static final long WATCH_RENEWAL_MILLIS = RankAgent.WATCH_LEASE_MILLIS / 3;

  /** Timeout for an agent's reply to an order, milliseconds. */
  private static final long REPLY_TIMEOUT_MILLIS = 160;

  private final WireTransport transport;
  private final int linkPort;
  private final LoadRelay loads;
  private final RankListener listener;
  private final Timeouts timeouts;
  private final ThreadConfinement confinement = new ThreadConfinement();
  private final Map<String, Agent> agents = new HashMap<>();
  private final Map<Link, String> hostByLink = new HashMap<>();
  private final Map<Long, CompletableFuture<RankOrder.Result>> pendingReplies = new HashMap<>();
  private long lastCallId;
  private long nextWatchAt;
  private boolean wasWatching;

  /** Receives what agents report; {@code host} is the IP number that agent and target share. */
  public interface RankListener {
    /** Receives the state of a rank. */
    void onState(String host, RankState state, long now);

    /** Receives the expert counts of a rank. */
    void onPicks(String host, RankEngine.Picks picks, long now);

    /** Receives the experts that a rank holds. */
    void onMap(String host, RankEngine.HeldMap map);
  }

  private static final class Agent {
    private Link link;
    private boolean isConnecting;
    private boolean hasRequestedPicks;
    private long nextConnectAt;
  }

  /**
   * Creates an instance without links.
   *
   * @param linkPort the port at which agents listen
   * @param loads receives the load of targets
   * @param listener receives all that agents report
   * @param timeouts complete orders without a reply, on the event loop of the transport
   */
  public RankLinks(
      WireTransport transport,
      int linkPort,
      LoadRelay loads,
      RankListener listener,
      Timeouts timeouts) {
    this.transport = transport;
    this.linkPort = linkPort;
    this.loads = loads;
    this.listener = listener;
    this.timeouts = timeouts;
  }

  /**
   * Opens missing links and closes those that are no longer wanted. To be called often.
   *
   * @param wanted IP numbers of targets that may have an agent
   * @param watches whether this entry wants expert counts and maps besides the load
   * @param picks whether the expert counts from a host are wanted
   */
  public void tick(Set<String> wanted, boolean watches, Predicate<String> picks, long now) {
    confinement.check();
    agents.entrySet().removeIf(agent -> closeIfUnwanted(agent.getKey(), agent.getValue(), wanted));
    wanted.forEach(host -> connectIfMissing(host, now));
    if (watches) {
      boolean isDue = now >= nextWatchAt || !wasWatching;
      nextWatchAt = isDue ? now + WATCH_RENEWAL_MILLIS : nextWatchAt;
      agents.forEach((host, agent) -> renewWatch(agent, picks.test(host), isDue));
    }
    wasWatching = watches;
  }

  /**
   * Sends an order through the agent at a host.
   *
   * @return the outcome, {@code UNKNOWN} after a timeout; empty if there is no link, so that
   *     nothing was sent
   */
  public Optional<CompletableFuture<RankOrder.Result>> order(String host, RankOrder order) {
    Optional<Link> link = linkTo(host);
    if (link.isEmpty()) {
      return Optional.empty();
    }
    lastCallId++;
    long id = lastCallId;
    CompletableFuture<RankOrder.Result> reply = new CompletableFuture<>();
    pendingReplies.put(id, reply);
    if (!link.get().offer(RankMessages.order(id, order))) {
      pendingReplies.remove(id);
      return Optional.empty();
    }
    reply.whenComplete((result, failure) -> pendingReplies.remove(id));
    return Optional.of(timeouts.complete(reply, RankOrder.Result.UNKNOWN, REPLY_TIMEOUT_MILLIS));
  }

  /** Whether there is an open link to the agent at a host. */
  public boolean isLinked(String host) {
    return linkTo(host).isPresent();
  }

  @Override
  public void onOpen(Link link) {
    logger.atInfo().log("%s", LogEvent.of("agent.linked").with("agent", link.peer().processId()));
  }

  @Override
  public void onFrame(Link link, Frame frame) {
    confinement.check();
    String host = hostByLink.get(link);
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
    confinement.check();
    String host = hostByLink.remove(link);
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
    CompletableFuture<RankOrder.Result> pending = pendingReplies.get(reply.getCallId());
    if (pending != null) {
      pending.complete(RankMessages.result(reply));
    }
  }

  private Optional<Link> linkTo(String host) {
    confinement.check();
    return Optional.ofNullable(agents.get(host)).map(agent -> agent.link).filter(Link::isOpen);
  }

  /** Sends a watch to an agent if its renewal is due or the need for expert counts has changed. */
  private static void renewWatch(Agent agent, boolean wantsPicks, boolean isDue) {
    boolean isNeeded = isDue || agent.hasRequestedPicks != wantsPicks;
    if (isNeeded && agent.link != null && agent.link.isOpen()) {
      agent.hasRequestedPicks = wantsPicks;
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
    return !agent.isConnecting;
  }

  private void connectIfMissing(String host, long now) {
    Agent agent = agents.computeIfAbsent(host, any -> new Agent());
    boolean isLinked = agent.link != null && agent.link.isOpen();
    if (isLinked || agent.isConnecting || now < agent.nextConnectAt) {
      return;
    }
    agent.isConnecting = true;
    transport
        .connect(host, linkPort, this)
        .whenComplete((link, failure) -> onConnected(host, agent, link));
  }

  private void onConnected(String host, Agent agent, Link link) {
    confinement.check();
    agent.isConnecting = false;
    agent.nextConnectAt = MonotonicClock.millis() + CONNECT_RETRY_MILLIS;
    agent.link = link;
    if (link != null) {
      hostByLink.put(link, host);
      if (wasWatching) {
        // Waiting for the next renewal would delay the first map after a power loss by 0.4 s.
        renewWatch(agent, true, true);
      }
    }
  }
}
