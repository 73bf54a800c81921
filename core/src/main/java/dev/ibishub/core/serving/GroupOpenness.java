package dev.ibishub.core.serving;

/**
 * Whether a group of ranks takes requests, by the newest word of any of them. Thread-safe by one
 * lock.
 *
 * <p>All ranks of a group open and break at the same moment, but tell it up to a report's period
 * apart. By each rank's own word alone, all that waited for the group went to the first few that
 * said it was open: up to 15 requests at one of 12 ranks that run 8, with 7 at others, and callers
 * who waited there left after 2 s without a piece.
 */
public final class GroupOpenness {
  private long epoch = Long.MIN_VALUE;
  private long saidAt = Long.MIN_VALUE / 2;
  private boolean isOpen;

  /**
   * Takes a rank's word.
   *
   * @param wordEpoch the group's epoch that it names; grows as the group forms anew
   * @param saysOpen whether the rank takes requests
   * @param at when it said so, milliseconds
   */
  public synchronized void onWord(long wordEpoch, boolean saysOpen, long at) {
    if (wordEpoch < epoch || (wordEpoch == epoch && at < saidAt)) {
      return;
    }
    epoch = wordEpoch;
    saidAt = at;
    isOpen = saysOpen;
  }

  /** Whether any rank's word is recent enough to count. */
  synchronized boolean isKnown(long now) {
    return now - saidAt <= TargetLoad.REPORT_MILLIS;
  }

  synchronized boolean isOpen() {
    return isOpen;
  }
}
