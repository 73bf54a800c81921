package dev.ibishub.core.serving;

import java.util.OptionalLong;

/**
 * When a stream that other targets may go on with is given up at a silent one. Stateless.
 *
 * <p>Guards against targets that swallow a request, and connections that go silent without being
 * closed: the caller would see nothing until it leaves, some two seconds after the last piece, and
 * the target would go on getting requests, as nothing speaks against it.
 */
public final class SilenceRule {
  /**
   * How long the first piece may take while the other streams move, milliseconds. First pieces come
   * within 0.4 s where a slot is free; another target's, from then on, still comes before the
   * caller leaves after 2 s.
   */
  static final long FIRST_PIECE_MILLIS = 900;

  /**
   * How long a pause may last while the other streams move, milliseconds. A stream that lost its
   * memory to others is read again within some 300.
   */
  static final long PAUSE_MILLIS = 700;

  private SilenceRule() {}

  /**
   * Decides.
   *
   * @param now the current time
   * @param heardAt when the last piece came, or the request was sent
   * @param isBegun whether any piece has come from this target
   * @param mayWait whether the target has more requests than it runs at once, so that one without a
   *     piece may still wait its turn
   * @param movingSince since when the service's streams move, empty while all stand still
   */
  public static boolean isLost(
      long now, long heardAt, boolean isBegun, boolean mayWait, OptionalLong movingSince) {
    if (movingSince.isEmpty() || (mayWait && !isBegun)) {
      return false;
    }
    return now >= lostFrom(Math.max(heardAt, movingSince.getAsLong()), isBegun);
  }

  /**
   * Returns the earliest time at which a stream that stays silent may be given up.
   *
   * @param heardAt when the last piece came, or the request was sent
   * @param isBegun whether any piece has come from this target
   */
  public static long lostFrom(long heardAt, boolean isBegun) {
    return heardAt + (isBegun ? PAUSE_MILLIS : FIRST_PIECE_MILLIS) + 1;
  }
}
