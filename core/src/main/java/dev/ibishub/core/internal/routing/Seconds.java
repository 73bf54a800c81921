package dev.ibishub.core.internal.routing;

import java.time.Duration;
import java.time.Instant;

/** Seconds between instants and back. */
public final class Seconds {
  private static final double NANOS = 1e9;

  private Seconds() {}

  /** Seconds from one instant to another; negative when the second is the earlier one. */
  public static double between(Instant from, Instant to) {
    return Duration.between(from, to).toNanos() / NANOS;
  }

  /** The instant that is the given number of seconds later. */
  public static Instant after(Instant from, double seconds) {
    return from.plusNanos((long) (seconds * NANOS));
  }
}
