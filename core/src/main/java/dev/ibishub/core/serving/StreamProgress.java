package dev.ibishub.core.serving;

import java.util.OptionalLong;

/**
 * Whether the streams of one service progress, over all streams that this entry relays. Thread-safe
 * by one lock.
 *
 * <p>The ranks of a group step together, so either all their streams progress or none does. A
 * stream that is silent while the others progress has lost its target or its connection. A stream
 * that is silent together with all others waits for its group, and moving it to another target
 * would only delay it.
 */
public final class StreamProgress {
  /**
   * Time without any piece after which all streams count as stalled, milliseconds. Pieces come once
   * per pass of the model, every 50 to 120 ms.
   */
  static final long STALL_MILLIS = 350;

  private long lastPieceAt = Long.MIN_VALUE / 2;
  private long progressingSince;

  /** Records a piece of any stream. */
  public synchronized void onPiece(long now) {
    if (now - lastPieceAt > STALL_MILLIS) {
      progressingSince = now;
    }
    lastPieceAt = now;
  }

  /** Returns since when pieces have come without a stall; empty while all streams stall. */
  public synchronized OptionalLong progressingSince(long now) {
    return now - lastPieceAt > STALL_MILLIS
        ? OptionalLong.empty()
        : OptionalLong.of(progressingSince);
  }
}
