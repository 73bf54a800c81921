package dev.ibishub.core.internal.routing;

import java.time.Duration;
import java.time.Instant;

/** Conversion between instants and seconds. */
public final class Seconds {
  private static final double NANOS = 1e9;

  private Seconds() {}

  /** Returns the seconds from one instant to another; negative if the second instant is earlier. */
  public static double between(Instant from, Instant to) {
    return Duration.between(from, to).toNanos() / NANOS;
  }

  /** Returns the instant that is the given number of seconds later. */
  public static Instant after(Instant from, double seconds) {
    return from.plusNanos((long) (seconds * NANOS));
  }
}
