package dev.ibishub.core.internal.overload;

import dev.ibishub.core.internal.routing.Seconds;
import java.time.Instant;

/**
 * A token bucket that several entries fill and drain together: each subtracts what it used itself
 * and, when they report it, what the others used. Use that is reported late drives the bucket into
 * debt, which the refill pays back, so that over time the limit holds over all entries together
 * however the load is split among them. Not thread-safe.
 */
final class SharedBucket {
  private double ratePerSecond;
  private double capacity;
  private double level;
  private Instant refilledAt;

  SharedBucket(Instant now) {
    this.refilledAt = now;
  }

  /** Refills up to now at the limit in force. */
  void refill(double limitPerSecond, double burstSeconds, Instant now) {
    boolean isNew = ratePerSecond == 0;
    ratePerSecond = limitPerSecond;
    capacity = limitPerSecond * burstSeconds;
    double seconds = Math.max(0, Seconds.between(refilledAt, now));
    refilledAt = now.isAfter(refilledAt) ? now : refilledAt;
    level = isNew ? capacity + level : Math.min(capacity, level + seconds * limitPerSecond);
  }

  boolean hasRoom() {
    return level > 0 || Double.isInfinite(ratePerSecond);
  }

  void take(double amount) {
    if (!Double.isInfinite(ratePerSecond)) {
      level -= amount;
    }
  }

  /** When the bucket has room again. */
  Instant roomAt(Instant now) {
    return hasRoom() ? now : Seconds.after(now, -level / ratePerSecond);
  }
}
