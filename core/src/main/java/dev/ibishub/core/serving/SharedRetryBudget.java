package dev.ibishub.core.serving;

import java.util.ArrayDeque;
import java.util.Deque;

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

  private double retriesPerRequest;
  private double sharedAllowance;
  private long windowMillis;
  private final Deque<Long> requests = new ArrayDeque<>();
  private final Deque<Long> retries = new ArrayDeque<>();

  /**
   * Creates a budget.
   *
   * @param retriesPerRequest retries that each request earns, 0 to 1
   * @param sharedAllowance retries in a window that all entries together have besides
   * @param windowMillis length of the sliding window, milliseconds
   */
  public SharedRetryBudget(double retriesPerRequest, double sharedAllowance, long windowMillis) {
    if (retriesPerRequest < 0 || sharedAllowance < 0 || windowMillis < 1) {
      throw new IllegalArgumentException(
          "need retriesPerRequest >= 0, sharedAllowance >= 0 and windowMillis >= 1, was %s, %s, %d"
              .formatted(retriesPerRequest, sharedAllowance, windowMillis));
    }
    change(retriesPerRequest, sharedAllowance, windowMillis);
  }

  /**
   * Changes the limits; what was counted stays counted.
   *
   * @see #SharedRetryBudget
   */
  public synchronized void change(
      double newRetriesPerRequest, double newSharedAllowance, long newWindowMillis) {
    retriesPerRequest = newRetriesPerRequest;
    sharedAllowance = newSharedAllowance;
    windowMillis = newWindowMillis;
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
    return retriesPerRequest * requests.size() + USED_PART * sharedAllowance / Math.max(1, entries);
  }

  private void forget(long now) {
    forget(requests, now);
    forget(retries, now);
  }

  private void forget(Deque<Long> times, long now) {
    while (!times.isEmpty() && times.peekFirst() <= now - windowMillis) {
      times.removeFirst();
    }
  }
}
