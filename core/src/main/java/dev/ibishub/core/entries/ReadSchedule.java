package dev.ibishub.core.entries;

/**
 * Decides when one entry reads a topic of the store. Times are milliseconds of one monotonic clock.
 * Not thread-safe.
 */
public final class ReadSchedule {
  /**
   * Back-off after a failed read, milliseconds. A store that is down gets at most 4 calls per
   * second from each entry.
   */
  private static final long BACK_OFF_MILLIS = 250;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final ReadTurns turns;
  private boolean reading;
  private long confirmedAt = NEVER;
  private long retryAt = NEVER;

  /** What an entry does now. */
  public enum Action {
    /** It does nothing. */
    NONE,
    /** It reads the topic. */
    READ
  }

  /**
   * A decision.
   *
   * @param waitMillis time that the store may hold the read open, milliseconds; 0 for none
   */
  public record Decision(Action action, long waitMillis) {
    private static final Decision NOTHING = new Decision(Action.NONE, 0);
  }

  /** Creates the schedule of an entry whose copy has not been confirmed yet. */
  public ReadSchedule(ReadTurns turns) {
    this.turns = turns;
  }

  /** Returns when the local copy was last confirmed; long ago if it never was. */
  public long confirmedAt() {
    return confirmedAt;
  }

  /**
   * Decides what to do now. After {@link Action#READ} the caller reports the outcome with {@link
   * #onReadDone} or {@link #onReadFailed}.
   *
   * @param turn this entry's position in the order of reading, from 0
   */
  public Decision next(long now, int turn) {
    if (reading || now < retryAt || now < confirmedAt + turns.dueMillis(turn)) {
      return Decision.NOTHING;
    }
    reading = true;
    return new Decision(Action.READ, turn == 0 ? turns.waitMillis() : 0);
  }

  /** Records that this entry or another one read the topic and the local copy is current. */
  public void onConfirmed(long now) {
    confirmedAt = now;
  }

  /** Records that the store responded to the read. */
  public void onReadDone() {
    reading = false;
  }

  /** Records that the read failed or its response was no use. */
  public void onReadFailed(long now) {
    reading = false;
    retryAt = now + BACK_OFF_MILLIS;
  }
}
