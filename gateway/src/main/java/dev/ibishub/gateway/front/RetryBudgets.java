package dev.ibishub.gateway.front;

import dev.ibishub.core.serving.RetryLimits;
import dev.ibishub.core.serving.SharedRetryBudget;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The retry budget of each service. Thread-safe. */
public final class RetryBudgets {
  private final Map<String, SharedRetryBudget> byService = new ConcurrentHashMap<>();
  private volatile RetryLimits limits;

  /** Creates budgets that are not used yet. */
  public RetryBudgets(RetryLimits limits) {
    this.limits = limits;
  }

  /** Changes the limits of all budgets; what was counted stays counted. */
  public void change(RetryLimits newLimits) {
    limits = newLimits;
  }

  /** Returns the budget of a service. */
  public SharedRetryBudget of(String service) {
    return byService.computeIfAbsent(service, any -> new SharedRetryBudget(() -> limits));
  }
}
