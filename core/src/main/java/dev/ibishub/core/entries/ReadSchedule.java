package dev.ibishub.core.entries;

import java.util.function.Supplier;

/**
 * Decides when one entry reads a topic of the store, and when it passes its turn on because the
 * store rejects it. Times are milliseconds of one monotonic clock. Not thread-safe.
 *
 * <p>A <em>round</em> lasts from one confirmation of the local copy to the next. Within it each
 * entry reads at its own turn ({@link ReadTurns}). An entry whose read fails passes its turn to the
 * next entry, at most once in a round, and backs off for longer after each failure, as long as
 * others read in its place. While nobody does, it tries again at the shortest back-off.
 *
 * <p>When the log has come back from an older copy, the local copy has to be read anew whenever it
 * was confirmed ({@link #onLogReturned}).
 */
public final class ReadSchedule {
  /**
   * Longest back-off of an entry whose turn another one takes, milliseconds. Every call to the
   * store is charged, rejected ones too.
   */
  static final long LONGEST_BACK_OFF_MILLIS = 4_000;

  /**
   * Time beyond the long poll after which a read without response no longer keeps its entry from
   * passing on a turn, milliseconds.
   */
  static final long OVERDUE_MILLIS = 300;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private static final long NOT_DUE = Long.MAX_VALUE;

  private final Supplier<ReadTurns> turns;
  private boolean isReading;
  private long openedAt = NEVER;
  private long overdueAt = NEVER;
  private long confirmedAt = NEVER;
  private int failures;
  private long retryAt = NEVER;
  private long restUntil = NEVER;

  /**
   * When this entry reads although its turn has not come, as the log came back from an older copy
   * or its own copy is incomplete; NOT_DUE if neither is so.
   */
  private long rereadAt = NOT_DUE;

  /** Whether this entry has to read or pass on although its own turn has not come. */
  private boolean holdsTurn;

  /** Whether the last read failed in this round, so that the turn is to be passed on. */
  private boolean hasFailed;

  /** Whether this entry has tried to pass on a turn in this round, and whether that succeeded. */
  private boolean hasTriedToPass;

  private boolean hasPassed;

  /** What an entry does now. */
  public enum Action {
    /** It does nothing. */
    NONE,
    /** It reads the topic. */
    READ,
    /** It passes its turn to the next entry. */
    PASS
  }

  /**
   * A decision.
   *
   * @param waitMillis time that the store may hold the read open, by this entry or by the one that
   *     the turn is passed to, milliseconds; 0 for none
   */
  public record Decision(Action action, long waitMillis) {
    private static final Decision NOTHING = new Decision(Action.NONE, 0);
  }

  /**
   * Creates the schedule of an entry whose copy has not been confirmed yet.
   *
   * @param turns the turns, which may change from one decision to the next
   */
  public ReadSchedule(Supplier<ReadTurns> turns) {
    this.turns = turns;
  }

  /** Returns when the local copy was last confirmed; long ago if it never was. */
  public long confirmedAt() {
    return confirmedAt;
  }

  /**
   * Decides what to do now. After {@link Action#READ} the caller reports the outcome with {@link
   * #onReadDone} or {@link #onReadFailed}, after {@link Action#PASS} a turn that could be sent with
   * {@link #onPassed}.
   *
   * @param turn this entry's position in the order of reading, from 0
   * @param entries number of entries
   */
  public Decision next(long now, int turn, int entries) {
    if (isReading || now < dueAt(turn, entries)) {
      return Decision.NOTHING;
    }
    if (!hasTriedToPass && (hasFailed || now < restUntil)) {
      return pass(now);
    }
    if (now < retryAt) {
      return Decision.NOTHING;
    }
    return read(now, turn == 0 && !hasToReread() ? turns.get().waitMillis() : 0);
  }

  private boolean hasToReread() {
    return rereadAt != NOT_DUE;
  }

  /**
   * Returns when this entry next reads or passes on, if nothing is confirmed before; in the past
   * while a read is open.
   *
   * @param turn this entry's position in the order of reading, from 0
   * @param entries number of entries
   */
  public long dueAt(int turn, int entries) {
    if (holdsTurn) {
      return confirmedAt;
    }
    // The entry that took over the first turn may hold a long poll open for as long as the first.
    int ownTurn = hasPassed ? Math.max(turn, 1) : turn;
    return Math.min(rereadAt, confirmedAt + turns.get().dueMillis(ownTurn, entries));
  }

  /**
   * Decides what to do with a turn that another entry passed to this one; as {@link #next}.
   *
   * @param waitMillis time that the store may hold the read open, milliseconds
   */
  public Decision onTurnReceived(long now, long waitMillis) {
    boolean isOutdated = !hasToReread() && now < confirmedAt + turns.get().periodMillis();
    if (isOutdated || (isReading && now < overdueAt)) {
      return Decision.NOTHING;
    }
    if (isReading || now < restUntil) {
      return hasTriedToPass ? Decision.NOTHING : pass(now);
    }
    holdsTurn = true;
    return read(now, Math.min(waitMillis, turns.get().waitMillis()));
  }

  private Decision read(long now, long waitMillis) {
    isReading = true;
    openedAt = now;
    overdueAt = now + waitMillis + OVERDUE_MILLIS;
    return new Decision(Action.READ, waitMillis);
  }

  private Decision pass(long now) {
    hasTriedToPass = true;
    holdsTurn = false;
    long pollEnd = confirmedAt + turns.get().periodMillis() + turns.get().waitMillis();
    return new Decision(Action.PASS, Math.max(0, pollEnd - now));
  }

  /** Records that the turn was sent to another entry. */
  public void onPassed() {
    hasPassed = true;
  }

  /** Records that this entry or another one read the topic and the local copy is current. */
  public void onConfirmed(long now) {
    confirmedAt = now;
    rereadAt = NOT_DUE;
    holdsTurn = false;
    hasFailed = false;
    hasTriedToPass = false;
    hasPassed = false;
  }

  /**
   * Records that the log came back from an older copy. Earlier failures count no more, as the store
   * was away meanwhile.
   *
   * @param dueAt when this entry reads the log anew, unless the local copy is confirmed before
   */
  public void onLogReturned(long dueAt) {
    rereadAt = dueAt;
    failures = 0;
    retryAt = NEVER;
    restUntil = NEVER;
    hasFailed = false;
    hasTriedToPass = false;
    hasPassed = false;
  }

  /**
   * Records that the copy that was just confirmed lacks some of what changed while it was listed.
   */
  public void onCopyIncomplete(long now) {
    rereadAt = now;
  }

  /**
   * Records that the log no longer has the records that a read was to begin with. The next read is
   * of a snapshot: at once, unless the lost records were to complete one that was just read.
   * Otherwise an entry whose history expires that fast would list the topic again and again.
   */
  public void onHistoryLost() {
    onReadDone();
    rereadAt = NOT_DUE;
  }

  /** Records that the outcome of the open read, if there is one, no longer matters. */
  public void onReadAbandoned() {
    isReading = false;
  }

  /** Records that the store responded to the read. */
  public void onReadDone() {
    isReading = false;
    failures = 0;
    restUntil = NEVER;
  }

  /**
   * Records that the read failed or its response was no use.
   *
   * @param entries number of entries
   */
  public void onReadFailed(long now, int entries) {
    isReading = false;
    hasFailed = true;
    // The time that the store left a read without response counts as back-off.
    long backOff = turns.get().backOffMillis(entries);
    retryAt = openedAt + backOff;
    restUntil = now + Math.min(backOff << Math.min(failures, 10), LONGEST_BACK_OFF_MILLIS);
    failures++;
  }
}
