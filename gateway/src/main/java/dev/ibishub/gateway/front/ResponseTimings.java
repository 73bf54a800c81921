package dev.ibishub.gateway.front;

/**
 * Timings of a response as its caller sees them: when the first piece came, and the longest pause
 * between pieces. Not thread-safe.
 */
final class ResponseTimings {
  private static final long NONE = -1;

  private final long arrivedAt;
  private long firstAt = NONE;
  private long lastAt = NONE;
  private long longestPauseMillis;

  ResponseTimings(long arrivedAt) {
    this.arrivedAt = arrivedAt;
  }

  /** Notes a piece that is sent to the caller. */
  void onPiece(long now) {
    if (firstAt == NONE) {
      firstAt = now;
    } else {
      longestPauseMillis = Math.max(longestPauseMillis, now - lastAt);
    }
    lastAt = now;
  }

  /**
   * Returns the time from the request's arrival to its first piece, milliseconds; 0 before that.
   */
  long firstPieceMillis() {
    return firstAt == NONE ? 0 : firstAt - arrivedAt;
  }

  /** Returns the longest time between two pieces, milliseconds; 0 before the second. */
  long longestPauseMillis() {
    return longestPauseMillis;
  }

  /**
   * Whether the response was later than an objective. Objectives are milliseconds; 0 means none.
   */
  boolean isLate(long latencyObjectiveMillis, long pauseObjectiveMillis) {
    return (latencyObjectiveMillis > 0 && firstPieceMillis() > latencyObjectiveMillis)
        || (pauseObjectiveMillis > 0 && longestPauseMillis > pauseObjectiveMillis);
  }
}
