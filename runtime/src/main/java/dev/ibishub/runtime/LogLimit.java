package dev.ibishub.runtime;

/**
 * A limit of the lines that one kind of event may log a second, so that a flood of events does not
 * take the time of the thread that logs. Thread-safe.
 *
 * <pre>{@code
 * if (limit.tryLog(MonotonicClock.millis())) {
 *   logger.atInfo().log(...);
 * }
 * }</pre>
 */
public final class LogLimit {
  private static final long PERIOD_MILLIS = 1_000;

  private final int linesPerSecond;
  private long periodEndsAt = Long.MIN_VALUE;
  private int lines;
  private long omitted;

  /**
   * Creates a limit.
   *
   * @param linesPerSecond the most lines in a second
   */
  public LogLimit(int linesPerSecond) {
    this.linesPerSecond = linesPerSecond;
  }

  /**
   * Counts a line.
   *
   * @param now current time of the monotonic clock, milliseconds
   * @return whether it may be logged; otherwise it counts as omitted
   */
  public synchronized boolean tryLog(long now) {
    if (now >= periodEndsAt) {
      periodEndsAt = now + PERIOD_MILLIS;
      lines = 0;
    }
    if (lines < linesPerSecond) {
      lines++;
      return true;
    }
    omitted++;
    return false;
  }

  /** Returns how many lines were omitted since the last call that was after the end of a period. */
  public synchronized long takeOmitted(long now) {
    if (now < periodEndsAt) {
      return 0;
    }
    long taken = omitted;
    omitted = 0;
    return taken;
  }
}
