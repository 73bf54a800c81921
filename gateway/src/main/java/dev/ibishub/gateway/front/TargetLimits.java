package dev.ibishub.gateway.front;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.core.serving.ColdLimit;
import dev.ibishub.core.serving.LimitStatement;
import dev.ibishub.core.serving.SharedLimits;
import dev.ibishub.gateway.model.Target;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.runtime.MonotonicClock;
import dev.ibishub.wire.generated.Frame;
import dev.ibishub.wire.generated.LimitReport;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Registry of the request limits that targets announce, shared with the other entries, and of those
 * of cold targets. Thread-safe.
 */
public final class TargetLimits implements ColdListener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final SharedLimits limits;
  private final Consumer<Frame> broadcast;
  private final Function<String, Optional<ColdLimit>> coldLimits;
  private final Counter sends;
  private final Counter withheld;

  /** The services of the cold targets, by incarnation of the target. */
  private final Map<String, String> coldServices = new ConcurrentHashMap<>();

  /**
   * Creates a registry without limits for cold targets.
   *
   * @param limits the known limits
   * @param broadcast sends a message to all linked entries
   * @param registry where the metrics are registered
   */
  public TargetLimits(SharedLimits limits, Consumer<Frame> broadcast, PrometheusRegistry registry) {
    this(limits, broadcast, service -> Optional.empty(), registry);
  }

  /**
   * Creates a registry.
   *
   * @param limits the known limits
   * @param broadcast sends a message to all linked entries
   * @param coldLimits returns the limit in force of a service's cold targets; empty for none
   * @param registry where the metrics are registered
   */
  public TargetLimits(
      SharedLimits limits,
      Consumer<Frame> broadcast,
      Function<String, Optional<ColdLimit>> coldLimits,
      PrometheusRegistry registry) {
    this.limits = limits;
    this.broadcast = broadcast;
    this.coldLimits = coldLimits;
    withheld =
        Counter.builder()
            .name("ibishub_withheld_from_cold_targets_total")
            .help("Times that a cold target was left out for a request, by service.")
            .labelNames("service")
            .register(registry);
    sends =
        Counter.builder()
            .name("ibishub_sends_to_limited_targets_total")
            .help("Requests sent to targets that had named a limit, by service.")
            .labelNames("service")
            .register(registry);
  }

  /** Whether this entry may send a request to a target now. */
  boolean allows(String targetIncarnation, long now) {
    String coldService = coldServices.get(targetIncarnation);
    if (coldService != null && !limits.allowsCold(targetIncarnation, now)) {
      withheld.labelValues(coldService).inc();
      return false;
    }
    return limits.allows(targetIncarnation, now);
  }

  @Override
  public void onCold(Target target, boolean wasInUse, long until, long now) {
    String service = target.service();
    boolean isNews =
        limits.onCold(target.incarnation(), () -> coldLimits.apply(service), wasInUse, until, now);
    coldServices.put(target.incarnation(), service);
    if (isNews) {
      logger.atInfo().log(
          "%s",
          LogEvent.of("target.cold")
              .with("target_life", target.incarnation())
              .with("service", service)
              .with("remaining_ms", until - now)
              .with("was_in_use", wasInUse)
              .with("requests_per_second", coldRate(service)));
    }
  }

  @Override
  public void onEnded(String incarnation) {
    limits.onColdEnded(incarnation);
    coldServices.remove(incarnation);
  }

  @Override
  public boolean hasLimit(String service) {
    return coldLimits.apply(service).isPresent();
  }

  private double coldRate(String service) {
    return coldLimits.apply(service).map(ColdLimit::dividedRequestsPerSecond).orElse(0.0);
  }

  /**
   * Takes in which entries share the limits of cold targets, and ends those whose time is over. To
   * be called often.
   *
   * @param participants see {@link SharedLimits#tickCold}
   */
  public void tickCold(Set<String> participants, long now) {
    for (String warm : limits.tickCold(participants, now)) {
      coldServices.remove(warm);
      logger.atInfo().log("%s", LogEvent.of("target.warm").with("target_life", warm));
    }
  }

  /** Counts a request sent to a target. */
  void onSent(String service, String targetIncarnation, long now) {
    if (limits.isLimited(targetIncarnation)) {
      sends.labelValues(service).inc();
    }
    limits.onSent(targetIncarnation, now);
  }

  /**
   * Takes in what the head of a target's response says of its limit.
   *
   * @param limit requests per second; empty if the target names no limit
   * @param sentAt when the request was sent, milliseconds
   */
  void onResponse(String targetIncarnation, OptionalDouble limit, long sentAt) {
    long now = MonotonicClock.millis();
    Optional<LimitStatement> newLimits = limits.onAnswer(targetIncarnation, limit, sentAt, now);
    newLimits.ifPresent(
        changed -> {
          log("answer", changed);
          broadcast.accept(LimitMessages.frame(List.of(changed), now));
        });
  }

  /**
   * Merges limits that targets announced to another entry.
   *
   * @return whether any of it was new, so that other entries may not have it yet
   */
  public boolean onReport(LimitReport report) {
    long now = MonotonicClock.millis();
    List<LimitStatement> newLimits =
        LimitMessages.limits(report, now)
            .filter(changed -> limits.onPeerStatement(changed, now))
            .toList();
    newLimits.forEach(changed -> log("entry", changed));
    return !newLimits.isEmpty();
  }

  /**
   * Takes in which entries share the limits, and sends them again those that are still announced.
   * To be called often.
   */
  public void tick(Set<String> entryHosts, long now) {
    limits.tick(entryHosts, now);
    List<LimitStatement> due = limits.takeDueBroadcasts();
    if (!due.isEmpty()) {
      broadcast.accept(LimitMessages.frame(due, now));
    }
  }

  /**
   * Returns a message with all known limits, for an entry that has just started; empty if there are
   * none.
   */
  public Optional<Frame> snapshot() {
    List<LimitStatement> all = limits.all();
    return all.isEmpty()
        ? Optional.empty()
        : Optional.of(LimitMessages.frame(all, MonotonicClock.millis()));
  }

  private static void log(String source, LimitStatement changed) {
    logger.atInfo().log(
        "%s",
        LogEvent.of(changed.requestsPerSecond().isPresent() ? "limit.named" : "limit.ended")
            .with("target_life", changed.targetIncarnation())
            .with("requests_per_second", changed.requestsPerSecond().orElse(0))
            .with("source", source));
  }
}
