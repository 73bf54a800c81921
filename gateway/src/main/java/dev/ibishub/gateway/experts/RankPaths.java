package dev.ibishub.gateway.experts;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.gateway.front.TargetDirectory;
import dev.ibishub.gateway.model.Target;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.runtime.MonotonicClock;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/**
 * The ways to a rank: through its agent, or straight to its engine where the agent does not answer.
 * Thread-safe.
 *
 * <p>Guards against a group that waits at a held step because one agent ended, or because the link
 * to it went silent: a link shows that only after two seconds. Straight orders are paid for, so
 * they are used only after one through the agent stayed unanswered.
 */
public final class RankPaths implements RankOrders {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Time between two looks at an engine whose agent is away, milliseconds; each look is paid for.
   */
  static final long LOOK_MILLIS = 150;

  private final RankLinks links;
  private final Function<Target, RankEngine> engines;
  private final TargetDirectory targets;
  private final LoadRelay loads;
  private final RankLinks.RankListener listener;
  private final Set<String> unanswered = ConcurrentHashMap.newKeySet();
  private final Map<String, Long> nextLookAt = new ConcurrentHashMap<>();

  /**
   * Creates the ways.
   *
   * @param engines reaches an engine from afar
   * @param loads told of the load of targets whose agent is away
   * @param listener told of what engines say whose agent is away
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
  public CompletableFuture<RankOrder.Result> give(Target target, RankOrder order) {
    Optional<CompletableFuture<RankOrder.Result>> throughAgent =
        unanswered.contains(target.host()) ? Optional.empty() : links.order(target.host(), order);
    return throughAgent
        .orElseGet(() -> engines.apply(target).order(order))
        .thenApply(result -> remember(target.host(), throughAgent.isPresent(), result));
  }

  /**
   * Looks at engines whose agent is away. To be called often by the entry that leads.
   *
   * @param hosts IP numbers of the engines
   */
  public void lookAround(Set<String> hosts, long now) {
    hosts.stream()
        .filter(host -> !links.isLinked(host))
        .filter(host -> now >= nextLookAt.getOrDefault(host, 0L))
        .forEach(host -> look(host, now));
  }

  private void look(String host, long now) {
    nextLookAt.put(host, now + LOOK_MILLIS);
    targets.atHost(host).stream()
        .findFirst()
        .ifPresent(
            known ->
                engines
                    .apply(known.target())
                    .state()
                    .whenComplete((state, failure) -> onLook(host, state, failure)));
  }

  private void onLook(String host, RankState state, Throwable failure) {
    if (failure != null) {
      logger.atFine().withCause(failure).log(
          "%s", LogEvent.of("engine.unreachable").with("host", host));
      return;
    }
    long now = MonotonicClock.millis();
    loads.onReport(host, state.load(now));
    listener.onState(host, state, now);
  }

  private RankOrder.Result remember(String host, boolean throughAgent, RankOrder.Result result) {
    if (throughAgent && result == RankOrder.Result.UNKNOWN) {
      unanswered.add(host);
    } else if (!throughAgent) {
      unanswered.remove(host);
    }
    return result;
  }
}
