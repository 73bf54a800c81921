package dev.ibishub.core.serving;

/**
 * Whether a group of ranks accepts requests, according to the latest report of any of its ranks.
 * Thread-safe by one lock.
 *
 * <p>All ranks of a group open and break at the same moment, but report it up to one report period
 * apart. If each rank were judged by its own report alone, all requests that wait for the group
 * would go to the first few ranks that report it open: up to 15 requests went to one of 12 ranks
 * that run 8 at once, against 7 at others, and callers waiting there left after 2 s without a piece
 * of their streams.
 */
public final class GroupOpenness {
  private long epoch = Long.MIN_VALUE;
  private long reportedAt = Long.MIN_VALUE / 2;
  private boolean isOpen;

  /**
   * Records a report of one rank. Reports of an earlier epoch, and older reports of the same epoch,
   * are ignored.
   *
   * @param reportEpoch the group's epoch in the report; it grows each time the group forms again
   * @param reportsOpen whether the rank accepts requests
   * @param at when the rank reported it, milliseconds
   */
  public synchronized void onReport(long reportEpoch, boolean reportsOpen, long at) {
    if (reportEpoch < epoch || (reportEpoch == epoch && at < reportedAt)) {
      return;
    }
    epoch = reportEpoch;
    reportedAt = at;
    isOpen = reportsOpen;
  }

  /** Whether the latest report of any rank is recent enough to count. */
  synchronized boolean hasRecentReport(long now) {
    return now - reportedAt <= TargetLoad.MAXIMUM_REPORT_AGE_MILLIS;
  }

  synchronized boolean isOpen() {
    return isOpen;
  }
}
