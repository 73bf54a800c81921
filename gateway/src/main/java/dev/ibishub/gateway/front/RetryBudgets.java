package dev.ibishub.gateway.front;

import dev.ibishub.core.serving.SharedRetryBudget;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The retry budget of each service. Thread-safe. */
public final class RetryBudgets {
  private final double retriesPerRequest;
  private final double sharedAllowance;
  private final long windowMillis;
  private final Map<String, SharedRetryBudget> byService = new ConcurrentHashMap<>();

  /**
   * Creates budgets that are not used yet.
   *
   * @see SharedRetryBudget#SharedRetryBudget
   */
  public RetryBudgets(double retriesPerRequest, double sharedAllowance, long windowMillis) {
    this.retriesPerRequest = retriesPerRequest;
    this.sharedAllowance = sharedAllowance;
    this.windowMillis = windowMillis;
  }

  /** Returns the budget of a service. */
  public SharedRetryBudget of(String service) {
    return byService.computeIfAbsent(
        service, any -> new SharedRetryBudget(retriesPerRequest, sharedAllowance, windowMillis));
  }
}
