package dev.ibishub.gateway.experts;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.gateway.front.TargetDirectory;
import dev.ibishub.gateway.model.Target;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.runtime.MonotonicClock;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * The routes to a rank: through its agent, or directly to its engine if the agent does not answer.
 * Not thread-safe: all methods are called on the entry's event loop.
 *
 * <p>Guards against a group that waits at a held step because an agent stopped, or because the link
 * to it went silent, which is detected only after two seconds. Direct orders are charged for, so
 * one is sent only if there is no link, or after an order through the agent stayed unanswered.
 */
public final class RankPaths implements RankOrderSender {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Interval between two polls of an engine whose agent is not linked, milliseconds; each is
   * charged for.
   */
  static final long POLL_MILLIS = 150;

  private final RankLinks links;
  private final Function<Target, RankEngine> engines;
  private final TargetDirectory targets;
  private final LoadRelay loads;
  private final RankLinks.RankListener listener;
  private final Set<String> unansweredHosts = new HashSet<>();
  private final Map<String, Long> nextPollAt = new HashMap<>();

  /**
   * Creates the routes.
   *
   * @param links the links to agents
   * @param engines returns a client that calls a target's engine directly
   * @param targets looks up the target at a host
   * @param loads receives the load of targets whose agent is not linked
   * @param listener receives the state of engines whose agent is not linked
   */
  public RankPaths(
      RankLinks links,
      Function<Target, RankEngine> engines,
      TargetDirectory targets,
      LoadRelay loads,
      RankLinks.RankListener listener) {
    this.links = links;
    this.engines = engines;
    this.targets = targets;
    this.loads = loads;
    this.listener = listener;
  }

  @Override
  public CompletableFuture<RankOrder.Result> send(Target target, RankOrder order) {
    Optional<CompletableFuture<RankOrder.Result>> viaAgent =
        unansweredHosts.contains(target.host())
            ? Optional.empty()
            : links.order(target.host(), order);
    return viaAgent
        .orElseGet(() -> engines.apply(target).order(order))
        .thenApply(result -> recordResult(target.host(), viaAgent.isPresent(), result));
  }

  /**
   * Polls the engines whose agent is not linked. To be called often by the leader.
   *
   * @param hosts IP numbers of the engines
   */
  public void pollUnlinked(Set<String> hosts, long now) {
    hosts.stream()
        .filter(host -> !links.isLinked(host))
        .filter(host -> now >= nextPollAt.getOrDefault(host, 0L))
        .forEach(host -> poll(host, now));
  }

  private void poll(String host, long now) {
    nextPollAt.put(host, now + POLL_MILLIS);
    targets.atHost(host).stream()
        .findFirst()
        .ifPresent(
            known ->
                engines
                    .apply(known.target())
                    .state()
                    .whenComplete((state, failure) -> onPolled(host, state, failure)));
  }

  private void onPolled(String host, RankState state, Throwable failure) {
    if (failure != null) {
      logger.atFine().withCause(failure).log(
          "%s", LogEvent.of("engine.unreachable").with("host", host));
      return;
    }
    long now = MonotonicClock.millis();
    loads.onReport(host, state.load(now));
    listener.onState(host, state, now);
  }

  private RankOrder.Result recordResult(String host, boolean viaAgent, RankOrder.Result result) {
    if (viaAgent && result == RankOrder.Result.UNKNOWN) {
      unansweredHosts.add(host);
    } else if (!viaAgent) {
      unansweredHosts.remove(host);
    }
    return result;
  }
}
