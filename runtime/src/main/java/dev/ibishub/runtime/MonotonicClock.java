package dev.ibishub.runtime;

import java.util.concurrent.TimeUnit;

/** The clock for deadlines within a process; unaffected by changes of the system time. */
public final class MonotonicClock {
  private MonotonicClock() {}

  /** Returns milliseconds since an arbitrary origin that is fixed for the life of the process. */
  public static long millis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
