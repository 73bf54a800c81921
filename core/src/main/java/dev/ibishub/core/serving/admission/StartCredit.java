package dev.ibishub.core.serving.admission;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * How many requests of a service this entry may start: its part of what all entries may start
 * together. Not thread-safe.
 *
 * <p>Credit accrues at the rate at which running requests end, corrected by the difference between
 * capacity and load over {@link #CORRECTION_MILLIS}. Reports are some hundred milliseconds old, so
 * entries that each started requests while the last report shows free capacity would together start
 * several times as many as fit.
 */
final class StartCredit {
  /**
   * Time within which a difference between load and capacity is made up for, milliseconds; twice
   * the age of reports. With less than that age, the load would oscillate.
   */
  static final double CORRECTION_MILLIS = 600;

  /**
   * Time from a start until the request shows in the target's reports, milliseconds: the transit
   * and the pass in which the target accepts it.
   */
  private static final long ARRIVAL_MILLIS = 15;

  /** Starts older than this are in every report, milliseconds. */
  private static final long MAXIMUM_REPORT_AGE_MILLIS = 1_000;

  /** Most credit that is kept while there is no free capacity: one start, and one in reserve. */
  static final double MAXIMUM = 2;

  /** Most credit that is owed, after starts that needed none. */
  private static final double MAXIMUM_DEBT = 2;

  private final Deque<Long> starts = new ArrayDeque<>();
  private double credit = 1;
  private long accruedAt = Long.MIN_VALUE;

  /**
   * Load and capacity as they are presumed to be now.
   *
   * @param requests requests that wait or run at the targets
   * @param capacity requests that they may have
   * @param endsPerSecond requests that end there per second
   * @param entries number of entries that send to them
   */
  record Outlook(double requests, double capacity, double endsPerSecond, int entries) {
    /** Returns how many requests a second this entry may start. */
    double startsPerSecond() {
      double correction = (capacity - requests) * 1_000 / CORRECTION_MILLIS;
      return Math.max(0, endsPerSecond + correction) / entries;
    }

    /**
     * Whether more capacity is free than what requests that end until this entry learns more would
     * be replaced by.
     *
     * @param millis time until then, milliseconds
     */
    boolean isAmple(double millis) {
      return capacity - requests > endsPerSecond * millis / 1_000;
    }

    /** Returns this entry's part of the free capacity. */
    double ownFree() {
      return (capacity - requests) / entries;
    }

    Outlook withReserve(double reserved) {
      return new Outlook(requests, capacity - reserved, endsPerSecond, entries);
    }
  }

  /** Counts a request that this entry starts. */
  void onStart(long now) {
    starts.addLast(now);
    credit--;
  }

  /** Returns how many requests this entry started that are not in reports of the given time. */
  int startsSince(long measuredAt, long now) {
    while (!starts.isEmpty() && starts.peekFirst() < now - MAXIMUM_REPORT_AGE_MILLIS) {
      starts.removeFirst();
    }
    int missing = 0;
    for (long at : starts) {
      missing += at + ARRIVAL_MILLIS >= measuredAt ? 1 : 0;
    }
    return missing;
  }

  /** Accrues credit until now. */
  void accrue(Outlook outlook, long now) {
    if (accruedAt != Long.MIN_VALUE) {
      credit += outlook.startsPerSecond() * (now - accruedAt) / 1_000;
    }
    accruedAt = now;
    credit = Math.max(-MAXIMUM_DEBT, Math.min(credit, Math.max(MAXIMUM, outlook.ownFree())));
  }

  double amount() {
    return credit;
  }
}
