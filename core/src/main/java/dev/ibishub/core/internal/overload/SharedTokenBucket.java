package dev.ibishub.core.internal.overload;

import dev.ibishub.core.internal.routing.Seconds;
import java.time.Instant;

/**
 * A token bucket that several entries share by reporting their use to each other: each subtracts
 * its own use at once and that of the others when it is reported. Use that is reported late can
 * make the balance negative; the refill pays the debt back, so that over time the limit holds over
 * all entries together, however the load is split among them. Not thread-safe.
 */
final class SharedTokenBucket {
  private double ratePerSecond;
  private double capacity;
  private double balance;
  private Instant refilledAt;

  SharedTokenBucket(Instant now) {
    this.refilledAt = now;
  }

  /** Refills the bucket up to now at the given limit. */
  void refill(double limitPerSecond, double burstSeconds, Instant now) {
    boolean isNew = ratePerSecond == 0;
    ratePerSecond = limitPerSecond;
    capacity = limitPerSecond * burstSeconds;
    double seconds = Math.max(0, Seconds.between(refilledAt, now));
    refilledAt = now.isAfter(refilledAt) ? now : refilledAt;
    balance = isNew ? capacity + balance : Math.min(capacity, balance + seconds * limitPerSecond);
  }

  /** Whether the balance is positive or the rate unlimited. */
  boolean hasCredit() {
    return balance > 0 || Double.isInfinite(ratePerSecond);
  }

  /** Subtracts an amount, also where that makes the balance negative. */
  void take(double amount) {
    if (!Double.isInfinite(ratePerSecond)) {
      balance -= amount;
    }
  }

  /** Returns when the balance is positive again; the given time if it is now. */
  Instant creditAt(Instant now) {
    return hasCredit() ? now : Seconds.after(now, -balance / ratePerSecond);
  }
}
