package dev.ibishub.gateway.front;

import dev.ibishub.core.serving.SharedRetryBudget;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The retry budget of each service. Thread-safe. */
public final class RetryBudgets {
  private final Map<String, SharedRetryBudget> byService = new ConcurrentHashMap<>();
  private volatile Limits limits;

  /**
   * How much may be retried.
   *
   * @param retriesPerRequest retries that each request earns, 0 to 1
   * @param sharedAllowance retries in a window that all entries together have besides
   * @param windowMillis length of the sliding window, milliseconds
   */
  public record Limits(double retriesPerRequest, double sharedAllowance, long windowMillis) {}

  /** Creates budgets that are not used yet. */
  public RetryBudgets(Limits limits) {
    this.limits = limits;
  }

  /** Changes the limits of all budgets; what was counted stays counted. */
  public void change(Limits newLimits) {
    limits = newLimits;
    byService
        .values()
        .forEach(
            budget ->
                budget.change(
                    newLimits.retriesPerRequest(),
                    newLimits.sharedAllowance(),
                    newLimits.windowMillis()));
  }

  /** Returns the budget of a service. */
  public SharedRetryBudget of(String service) {
    return byService.computeIfAbsent(
        service,
        any ->
            new SharedRetryBudget(
                limits.retriesPerRequest(), limits.sharedAllowance(), limits.windowMillis()));
  }
}
