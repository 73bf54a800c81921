package dev.ibishub.gateway.front;

/** Measures what a caller sees of an answer: the first piece and the longest pause after it. */
final class PauseWatch {
  private static final long NONE = -1;

  private final long arrivedAt;
  private long firstAt = NONE;
  private long lastAt = NONE;
  private long longestPauseMillis;

  PauseWatch(long arrivedAt) {
    this.arrivedAt = arrivedAt;
  }

  /** Notes a piece that goes out to the caller. */
  void onPiece(long now) {
    if (firstAt == NONE) {
      firstAt = now;
    } else {
      longestPauseMillis = Math.max(longestPauseMillis, now - lastAt);
    }
    lastAt = now;
  }

  /** Returns the time from the request's arrival to its first piece, milliseconds. */
  long firstPieceMillis() {
    return firstAt == NONE ? 0 : firstAt - arrivedAt;
  }

  long longestPauseMillis() {
    return longestPauseMillis;
  }

  /** Whether an answer was later than wanted; an aim of 0 is none. */
  boolean isLate(long aimMillis, long pauseAimMillis) {
    return (aimMillis > 0 && firstPieceMillis() > aimMillis)
        || (pauseAimMillis > 0 && longestPauseMillis > pauseAimMillis);
  }
}
