package dev.ibishub.core.serving;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Supplier;

/**
 * This entry's part of a retry budget that all entries share: in any window, retries stay below a
 * share of the requests plus a fixed allowance that the entries divide among themselves.
 * Thread-safe by one lock.
 *
 * <p>Each entry counts its own requests only, so the sum over all entries stays within the budget
 * without any message. What an entry may not know is how many others there are; the largest number
 * seen in the last window counts.
 */
public final class SharedRetryBudget {
  /**
   * The part of the allowance that is used. The rest covers two entries that hold different views
   * of how many entries there are while one joins or leaves.
   */
  private static final double USED_PART = 0.75;

  private final Supplier<RetryLimits> limits;
  private final Deque<Long> requests = new ArrayDeque<>();
  private final Deque<Long> retries = new ArrayDeque<>();

  /**
   * Creates a budget.
   *
   * @param limits the limits in force; they may change, and what was counted stays counted
   */
  public SharedRetryBudget(Supplier<RetryLimits> limits) {
    this.limits = limits;
  }

  /** Counts a request's first attempt. */
  public synchronized void onRequest(long now) {
    forget(now);
    requests.addLast(now);
  }

  /**
   * Takes one retry.
   *
   * @param now the current time
   * @param entries how many entries share the allowance, 1 or more
   * @return false when the budget is used up
   */
  public synchronized boolean tryRetry(long now, int entries) {
    forget(now);
    if (retries.size() + 1 > allowed(entries)) {
      return false;
    }
    retries.addLast(now);
    return true;
  }

  private double allowed(int entries) {
    RetryLimits inForce = limits.get();
    return inForce.retriesPerRequest() * requests.size()
        + USED_PART * inForce.sharedAllowance() / Math.max(1, entries);
  }

  private void forget(long now) {
    forget(requests, now);
    forget(retries, now);
  }

  private void forget(Deque<Long> times, long now) {
    while (!times.isEmpty() && times.peekFirst() <= now - limits.get().windowMillis()) {
      times.removeFirst();
    }
  }
}
