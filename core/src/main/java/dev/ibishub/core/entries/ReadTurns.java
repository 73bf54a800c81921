package dev.ibishub.core.entries;

/**
 * The turns by which entries read a topic of the store: how long after the last confirmation of its
 * local copy each entry reads, by its position in the order. Immutable.
 *
 * @param periodMillis time from the last confirmation to the next read by the first entry,
 *     milliseconds
 * @param staggerMillis time that each preceding entry adds to the period, milliseconds
 * @param waitMillis long-poll timeout: time that the store may hold the first entry's read open
 *     until there is a record, milliseconds; 0 for none
 */
public record ReadTurns(long periodMillis, long staggerMillis, long waitMillis) {
  /**
   * Number of entries with the full stagger between their reads. Later entries follow at {@link
   * #LATER_STAGGER} of it. With the full stagger for all, the last of 42 entries would wait 42 s
   * for a configuration while the first entries are rejected by the store or its links to them are
   * broken.
   */
  public static final int FULL_STAGGER_ENTRIES = 4;

  /**
   * Fraction of the stagger between later entries; long enough for the store's response to reach
   * the next entry before that one reads.
   */
  private static final double LATER_STAGGER = 1.0 / 64;

  /**
   * Returns the time from the last confirmation to an entry's read, milliseconds.
   *
   * @param turn the entry's position in the order of reading, from 0
   */
  public long dueMillis(int turn) {
    double staggers =
        Math.min(turn, FULL_STAGGER_ENTRIES)
            + LATER_STAGGER * Math.max(0, turn - FULL_STAGGER_ENTRIES);
    return periodMillis + (long) (staggers * staggerMillis);
  }
}
