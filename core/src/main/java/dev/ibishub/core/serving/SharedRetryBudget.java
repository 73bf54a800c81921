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
 * spends only its own part of the allowance. The allowance is divided by {@link
 * dev.ibishub.core.entries.IncarnationCount incarnations}, so an entry that restarts has a part at
 * once although its predecessor may have spent one.
 */
public final class SharedRetryBudget {
  /**
   * The share of the allowance that is used. If all entries restart at once, their predecessors
   * have spent this share and they spend half of it again, as they count each entry twice: six
   * tenths of the allowance. The rest is a margin for requests that earn retries before and after a
   * restart.
   */
  private static final double USED_ALLOWANCE_SHARE = 0.4;

  private final Supplier<RetryLimits> limits;
  private final Deque<Long> requests = new ArrayDeque<>();
  private final Deque<Long> retries = new ArrayDeque<>();

  /**
   * What a budget has at one time.
   *
   * @param requests this entry's requests of the last window
   * @param retries its retries of the last window
   * @param allowed the retries that it may have in this window, a fraction included
   */
  public record Balance(int requests, int retries, double allowed) {
    /** Checks that nothing is negative. */
    public Balance {
      if (requests < 0 || retries < 0 || allowed < 0) {
        throw new IllegalArgumentException(
            "need counts >= 0, was %d, %d, %s".formatted(requests, retries, allowed));
      }
    }

    /** Whether there is one more retry. */
    public boolean allowsAnother() {
      return retries + 1 <= allowed;
    }
  }

  /**
   * Creates a budget.
   *
   * @param limits the limits in force; they may change, and earlier requests and retries still
   *     count then
   */
  public SharedRetryBudget(Supplier<RetryLimits> limits) {
    this.limits = limits;
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
   * @param incarnations how many incarnations of entries may have used the allowance in this
   *     window; 0 if that is not known, and then only this entry's requests earn retries
   * @return false if the budget is used up
   */
  public synchronized boolean tryRetry(long now, int incarnations) {
    if (!balance(now, incarnations).allowsAnother()) {
      return false;
    }
    retries.addLast(now);
    return true;
  }

  /** Returns what the budget has; the parameters are those of {@link #tryRetry}. */
  public synchronized Balance balance(long now, int incarnations) {
    evictExpired(now);
    return new Balance(requests.size(), retries.size(), allowed(incarnations));
  }

  private double allowed(int incarnations) {
    RetryLimits inForce = limits.get();
    double ownPart =
        incarnations == 0 ? 0 : USED_ALLOWANCE_SHARE * inForce.sharedAllowance() / incarnations;
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
