package dev.ibishub.gateway.front;

import dev.ibishub.core.entries.SlidingMaximum;
import dev.ibishub.core.serving.RetryLimits;
import dev.ibishub.core.serving.SharedRetryBudget;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Retry budgets, one for each service. Thread-safe. Used on the platform of ibishub's users; {@code
 * dev.ibishub.core.RetryBudget} is the counterpart behind ibishub's own interface.
 */
public final class RetryBudgets {
  /** Retry windows for which an entry that is no longer seen keeps its part of the budgets. */
  private static final int ENTRY_COUNT_WINDOWS = 10;

  private final Map<String, SharedRetryBudget> byService = new ConcurrentHashMap<>();
  private final SlidingMaximum entries;
  private final long allowanceFrom;
  private volatile RetryLimits limits;

  /**
   * Creates budgets that are not used yet.
   *
   * @param startedAt when this process started, on the monotonic clock, milliseconds
   * @param isFirstStart whether no process ran in its place before; otherwise it has no part of the
   *     shared allowance in its first window, as its predecessor may have spent it
   */
  public RetryBudgets(RetryLimits limits, long startedAt, boolean isFirstStart) {
    this.limits = limits;
    this.allowanceFrom = isFirstStart ? startedAt : startedAt + limits.windowMillis();
    this.entries = new SlidingMaximum(ENTRY_COUNT_WINDOWS * limits.windowMillis());
  }

  /** Changes the limits of all budgets; requests and retries counted so far still count. */
  public void change(RetryLimits newLimits) {
    limits = newLimits;
  }

  /** Takes in how many entries there are, this one included. To be called often. */
  public void onEntries(int number, long now) {
    entries.onSeen(number, now);
  }

  /** Counts a request's first attempt at a service. */
  void onRequest(String service, long now) {
    of(service).onRequest(now);
  }

  /** Takes one retry from a service's budget; returns false when the budget is used up. */
  boolean tryRetry(String service, long now) {
    return of(service).tryRetry(now, entries.largest());
  }

  private SharedRetryBudget of(String service) {
    return byService.computeIfAbsent(
        service, key -> new SharedRetryBudget(() -> limits, allowanceFrom));
  }
}
