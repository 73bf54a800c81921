package dev.ibishub.core.serving;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Supplier;

/**
 * This entry's part of a retry budget that all entries share: in any window, all retries together
 * stay below a share of the requests plus a fixed allowance, which the entries divide evenly. Used
 * on the platform of the users; ibishub's own interface has {@link dev.ibishub.core.RetryBudget}.
 * Thread-safe by one lock.
 *
 * <p>The budget holds without any messages between entries: each counts only its own requests and
 * spends only its own part of the allowance. An entry that has just started has no part yet, as the
 * process that ran in its place before may have spent it. Entries that disappear keep their parts
 * for a while, see {@link #tryRetry}.
 */
public final class SharedRetryBudget {
  /**
   * The share of the allowance that is used. The rest is a margin for windows that begin and end at
   * other times than the windows in which this entry counts.
   */
  private static final double USED_ALLOWANCE_SHARE = 0.75;

  private final Supplier<RetryLimits> limits;
  private final long allowanceFrom;
  private final Deque<Long> requests = new ArrayDeque<>();
  private final Deque<Long> retries = new ArrayDeque<>();

  /**
   * Creates a budget.
   *
   * @param limits the limits in force; they may change, and earlier requests and retries still
   *     count then
   * @param allowanceFrom from when this entry has a part of the allowance, milliseconds: one window
   *     after it started, or at once if no process ran in its place before
   */
  public SharedRetryBudget(Supplier<RetryLimits> limits, long allowanceFrom) {
    this.limits = limits;
    this.allowanceFrom = allowanceFrom;
  }

  /** Counts a request's first attempt. */
  public synchronized void onRequest(long now) {
    evictExpired(now);
    requests.addLast(now);
  }

  /**
   * Spends one retry if the budget allows it.
   *
   * @param now the current time, milliseconds
   * @param entries how many entries may have used the allowance in this window, 1 or more. This is
   *     the largest number seen over several windows, as an entry that is no longer seen may only
   *     be cut off.
   * @return false if the budget is used up
   */
  public synchronized boolean tryRetry(long now, int entries) {
    evictExpired(now);
    if (retries.size() + 1 > allowed(now, entries)) {
      return false;
    }
    retries.addLast(now);
    return true;
  }

  private double allowed(long now, int entries) {
    RetryLimits inForce = limits.get();
    double ownPart =
        now < allowanceFrom
            ? 0
            : USED_ALLOWANCE_SHARE * inForce.sharedAllowance() / Math.max(1, entries);
    return inForce.retriesPerRequest() * requests.size() + ownPart;
  }

  private void evictExpired(long now) {
    evictExpired(requests, now);
    evictExpired(retries, now);
  }

  private void evictExpired(Deque<Long> times, long now) {
    while (!times.isEmpty() && times.peekFirst() <= now - limits.get().windowMillis()) {
      times.removeFirst();
    }
  }
}
