package dev.ibishub.core.serving;

import java.util.OptionalLong;

/**
 * Whether the streams of a service move, seen over all that this entry relays. Thread-safe by one
 * lock.
 *
 * <p>Ranks of a group step together, so that either all their streams move or none does. A stream
 * that is silent while the others move has lost its target or its connection; one that is silent
 * with all others waits for the group and would only wait longer elsewhere.
 */
public final class StreamProgress {
  /** Pieces come once a pass, 50 to 120 ms apart; after this long without any all stand still. */
  static final long STALL_MILLIS = 350;

  private long lastPieceAt = Long.MIN_VALUE / 2;
  private long movingSince;

  /** Notes a piece of any stream. */
  public synchronized void onPiece(long now) {
    if (now - lastPieceAt > STALL_MILLIS) {
      movingSince = now;
    }
    lastPieceAt = now;
  }

  /** Returns since when pieces have come without a stall; empty while all streams stand still. */
  public synchronized OptionalLong movingSince(long now) {
    return now - lastPieceAt > STALL_MILLIS ? OptionalLong.empty() : OptionalLong.of(movingSince);
  }
}
