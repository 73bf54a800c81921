package dev.ibishub.gateway.callers;

/** Notices that a caller reads nothing of its responses. Not thread-safe. */
final class StallDetector {
  private long unwrittenBytes;
  private long deadline = Long.MAX_VALUE;

  /**
   * Takes in how much of the responses is not written yet.
   *
   * @param unwritten number of bytes that the socket has not accepted
   * @param now the monotonic clock, milliseconds
   * @param stalledMillis longest time without any change, milliseconds
   * @return whether nothing has been accepted for that time
   */
  boolean isStalled(long unwritten, long now, long stalledMillis) {
    if (unwritten == 0) {
      deadline = Long.MAX_VALUE;
    } else if (unwritten != unwrittenBytes || deadline == Long.MAX_VALUE) {
      deadline = now + stalledMillis;
    }
    unwrittenBytes = unwritten;
    return now >= deadline;
  }
}
