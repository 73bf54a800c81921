package dev.ibishub.core;

import java.time.Duration;
import java.time.Instant;

/**
 * Limits retries to a share of the requests, so that a fault does not multiply the load that caused
 * it. In addition, retries at a small fixed rate are allowed, since an entry with few requests
 * could otherwise never retry. Used behind ibishub's own interface, for one entry alone; on the
 * platform of its users {@code SharedRetryBudget} does this for all entries together. Thread-safe
 * by one lock.
 */
public final class RetryBudget {
  /** The most retries that can be saved up. */
  private static final double MAXIMUM_BALANCE = 100;

  private final double retriesPerRequest;
  private final double retriesPerSecond;
  private double balance;
  private Instant refilledAt = Instant.MIN;

  private RetryBudget(double retriesPerRequest, double retriesPerSecond) {
    this.retriesPerRequest = retriesPerRequest;
    this.retriesPerSecond = retriesPerSecond;
    this.balance = 1;
  }

  /**
   * Creates a budget that allows one retry at once.
   *
   * @param retriesPerRequest retries earned by each request, 0 to 1
   * @param retriesPerSecond retries earned by time alone
   */
  public static RetryBudget create(double retriesPerRequest, double retriesPerSecond) {
    if (!(retriesPerRequest >= 0 && retriesPerRequest <= 1) || !(retriesPerSecond >= 0)) {
      throw new IllegalArgumentException(
          "need 0 <= retriesPerRequest <= 1 and retriesPerSecond >= 0, was %s, %s"
              .formatted(retriesPerRequest, retriesPerSecond));
    }
    return new RetryBudget(retriesPerRequest, retriesPerSecond);
  }

  /** Creates a budget of one retry for every ten requests plus one every ten seconds. */
  public static RetryBudget defaults() {
    return create(0.1, 0.1);
  }

  /** Counts a first attempt, which earns a part of a retry. */
  public synchronized void onRequest() {
    balance = Math.min(MAXIMUM_BALANCE, balance + retriesPerRequest);
  }

  /**
   * Takes a retry from the budget.
   *
   * @param now the current time
   * @return false if the budget is used up; the request then ends with its last result
   */
  public synchronized boolean tryRetry(Instant now) {
    refill(now);
    if (balance < 1) {
      return false;
    }
    balance -= 1;
    return true;
  }

  private void refill(Instant now) {
    if (refilledAt.equals(Instant.MIN)) {
      refilledAt = now;
    }
    double seconds = Math.max(0, Duration.between(refilledAt, now).toNanos() / 1e9);
    balance = Math.min(MAXIMUM_BALANCE, balance + seconds * retriesPerSecond);
    refilledAt = now.isAfter(refilledAt) ? now : refilledAt;
  }
}
