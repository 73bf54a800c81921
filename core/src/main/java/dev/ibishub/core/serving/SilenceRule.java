package dev.ibishub.core.serving;

import java.util.OptionalLong;

/**
 * Decides when a resumable stream is given up at a target that has gone silent, so that another
 * target can take it over. Stateless.
 *
 * <p>Guards against targets that accept a request and never answer, and against connections that go
 * silent without being closed. The caller would see nothing and leave about two seconds after the
 * last piece, and the target would go on receiving requests, as nothing shows that it is faulty.
 */
public final class SilenceRule {
  /**
   * How long the first piece may take while the service's other streams progress, milliseconds.
   * First pieces come within 0.4 s if a slot is free. After this time the first piece of another
   * target still comes before the caller leaves, which it does after 2 s.
   */
  static final long FIRST_PIECE_TIMEOUT_MILLIS = 900;

  /**
   * How long a pause may last while the service's other streams progress, milliseconds. A stream
   * whose cache was evicted in favour of others has its text processed again within about 300 ms.
   */
  static final long PAUSE_TIMEOUT_MILLIS = 700;

  private SilenceRule() {}

  /**
   * Whether a stream is to be given up at its target.
   *
   * @param now the current time, milliseconds
   * @param heardAt when the last piece came or, before the first, when the request was sent,
   *     milliseconds
   * @param isBegun whether any piece has come from this target
   * @param mayWait whether the target has more requests than it runs at once, so that one without a
   *     piece may still be queued
   * @param progressingSince since when the service's streams have progressed without a stall,
   *     milliseconds; empty while all of them stall
   */
  public static boolean isLost(
      long now, long heardAt, boolean isBegun, boolean mayWait, OptionalLong progressingSince) {
    if (progressingSince.isEmpty() || (mayWait && !isBegun)) {
      return false;
    }
    return now >= lostFrom(Math.max(heardAt, progressingSince.getAsLong()), isBegun);
  }

  /**
   * Returns the earliest time at which a stream that stays silent may be given up, milliseconds.
   *
   * @param heardAt when the last piece came or, before the first, when the request was sent,
   *     milliseconds
   * @param isBegun whether any piece has come from this target
   */
  public static long lostFrom(long heardAt, boolean isBegun) {
    return heardAt + (isBegun ? PAUSE_TIMEOUT_MILLIS : FIRST_PIECE_TIMEOUT_MILLIS) + 1;
  }
}
