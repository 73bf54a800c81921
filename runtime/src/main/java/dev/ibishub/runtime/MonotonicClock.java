package dev.ibishub.runtime;

import java.util.concurrent.TimeUnit;

/** The clock of all deadlines inside a process: it only goes forward, whatever sets the time. */
public final class MonotonicClock {
  private MonotonicClock() {}

  /** Returns milliseconds since some moment that is fixed while the process lives. */
  public static long millis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
