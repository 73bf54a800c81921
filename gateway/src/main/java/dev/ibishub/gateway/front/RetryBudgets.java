package dev.ibishub.gateway.front;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.core.entries.IncarnationCount;
import dev.ibishub.core.serving.RetryLimits;
import dev.ibishub.core.serving.SharedRetryBudget;
import dev.ibishub.runtime.LogEvent;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Retry budgets, one for each service. Thread-safe. Used on the platform of ibishub's users; {@code
 * dev.ibishub.core.RetryBudget} is the counterpart behind ibishub's own interface.
 */
public final class RetryBudgets {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Map<String, SharedRetryBudget> byService = new ConcurrentHashMap<>();

  /** The services whose last retry was refused; a refusal is logged only after a granted one. */
  private final Set<String> exhausted = ConcurrentHashMap.newKeySet();

  private final IncarnationCount incarnations;
  private final Counter refusals;
  private volatile RetryLimits limits;

  /**
   * Creates budgets that are not used yet.
   *
   * @param startedAt when this process started, on the monotonic clock, milliseconds
   * @param isFirstStart whether the whole system starts for the first time, so that no entry that
   *     starts within this entry's first window has a predecessor
   * @param registry where the metrics are registered
   */
  public RetryBudgets(
      RetryLimits limits, long startedAt, boolean isFirstStart, PrometheusRegistry registry) {
    this.limits = limits;
    this.incarnations =
        new IncarnationCount(
            limits.windowMillis(), isFirstStart ? startedAt + limits.windowMillis() : startedAt);
    this.refusals =
        Counter.builder()
            .name("ibishub_retries_refused_total")
            .help("Retries refused because the retry budget was used up, by service.")
            .labelNames("service")
            .register(registry);
  }

  /** Changes the limits of all budgets; requests and retries counted so far still count. */
  public void change(RetryLimits newLimits) {
    limits = newLimits;
  }

  /**
   * Takes in which entries are alive. To be called often, once this entry has had time to hear the
   * others; until then it has no part of the shared allowance.
   *
   * @param alive how many entries are alive, including this one
   * @param startedInWindow how many of them started within the last retry window
   * @param now the current time on the monotonic clock, milliseconds
   */
  public void onEntries(int alive, int startedInWindow, long now) {
    incarnations.onSeen(alive, startedInWindow, now);
  }

  /** Counts a request's first attempt at a service. */
  void onRequest(String service, long now) {
    of(service).onRequest(now);
  }

  /** Takes one retry from a service's budget; returns false when the budget is used up. */
  boolean tryRetry(String service, long now) {
    if (of(service).tryRetry(now, incarnations.get())) {
      exhausted.remove(service);
      return true;
    }
    refusals.labelValues(service).inc();
    if (exhausted.add(service)) {
      logRefusal(service, now);
    }
    return false;
  }

  private void logRefusal(String service, long now) {
    int divisor = incarnations.get();
    SharedRetryBudget.Balance balance = of(service).balance(now, divisor);
    logger.atInfo().log(
        "%s",
        LogEvent.of("retry.refused")
            .with("service", service)
            .with("requests", balance.requests())
            .with("retries", balance.retries())
            .with("allowed", "%.1f".formatted(balance.allowed()))
            .with("incarnations", divisor));
  }

  private SharedRetryBudget of(String service) {
    return byService.computeIfAbsent(service, key -> new SharedRetryBudget(() -> limits));
  }
}
