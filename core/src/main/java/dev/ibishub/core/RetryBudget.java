package dev.ibishub.core;

import java.time.Duration;
import java.time.Instant;

/**
 * Bounds retries to a share of the requests, so that a fault does not multiply the load that caused
 * it. A small number of retries is always allowed, or else a quiet entry could never retry.
 * Thread-safe by one lock.
 */
public final class RetryBudget {
  private static final double LARGEST_BALANCE = 100;

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
   * Creates a budget.
   *
   * @param retriesPerRequest share of retries that each request earns, 0 to 1
   * @param retriesPerSecond retries that are earned without requests
   */
  public static RetryBudget create(double retriesPerRequest, double retriesPerSecond) {
    if (!(retriesPerRequest >= 0 && retriesPerRequest <= 1) || !(retriesPerSecond >= 0)) {
      throw new IllegalArgumentException(
          "need 0 <= retriesPerRequest <= 1 and retriesPerSecond >= 0, was %s, %s"
              .formatted(retriesPerRequest, retriesPerSecond));
    }
    return new RetryBudget(retriesPerRequest, retriesPerSecond);
  }

  /** Creates a budget of one retry in ten requests and one in ten seconds. */
  public static RetryBudget defaults() {
    return create(0.1, 0.1);
  }

  /** Counts a first attempt. */
  public synchronized void onRequest() {
    balance = Math.min(LARGEST_BALANCE, balance + retriesPerRequest);
  }

  /**
   * Takes a retry from the budget.
   *
   * @param now the current time
   * @return false when the budget is used up; the request then ends with its last result
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
    balance = Math.min(LARGEST_BALANCE, balance + seconds * retriesPerSecond);
    refilledAt = now.isAfter(refilledAt) ? now : refilledAt;
  }
}
