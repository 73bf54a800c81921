package dev.ibishub.core.entries;

/**
 * The turns by which entries read a topic of the store: how long after the last confirmation of its
 * local copy each entry reads, by its position in the order. Immutable.
 *
 * @param periodMillis time from the last confirmation to the next read by the first entry,
 *     milliseconds
 * @param waitMillis long-poll timeout: time that the store may hold the first entry's read open
 *     until there is a record, milliseconds; 0 for none
 * @param firstStaggerMillis time that the second entry gives the first one, milliseconds; longer
 *     than the long poll, so that no second entry reads while the store answers the first
 * @param staggerMillis time that each of the next entries gives the one before it, milliseconds
 * @param lastMillis time from the last confirmation by which all entries have had a turn,
 *     milliseconds; exceeded only where the store's read rate does not allow it
 * @param readsPerSecond reads of this topic per second that all entries together may make
 */
public record ReadTurns(
    long periodMillis,
    long waitMillis,
    long firstStaggerMillis,
    long staggerMillis,
    long lastMillis,
    double readsPerSecond) {
  /**
   * Number of entries with the full stagger between their reads. Later entries follow at {@link
   * #LATER_STAGGER} of it. With the full stagger for all, the last of 42 entries would wait 42 s
   * for a configuration while the first entries are rejected by the store or its links to them are
   * broken.
   */
  public static final int FULL_STAGGER_ENTRIES = 4;

  /**
   * Fraction of the stagger between later entries; long enough for the store's response to reach
   * the next entry before that one reads, where the time allowed leaves room for that.
   */
  private static final double LATER_STAGGER = 1.0 / 64;

  /** Time from the last confirmation to the next long poll, milliseconds. */
  private static final long POLL_PERIOD_MILLIS = 50;

  /**
   * Longest long poll, milliseconds. An entry whose long poll gets no response is noticed only
   * after it.
   */
  private static final long LONGEST_POLL_MILLIS = 1_000;

  /** Share of the time allowed that a long poll may take. */
  private static final double POLL_SHARE = 0.5;

  /**
   * Time that the second entry gives the first, in long polls. The 0.3 covers the store's response,
   * its way over the links, and pauses of a VM with half a core.
   */
  private static final double POLLS_FOR_FIRST = 1.3;

  /**
   * Share of the time allowed within which all entries have had a turn. The rest is for the store's
   * response, sending a large configuration to all entries, and decoding it.
   */
  private static final double TURNS_SHARE = 0.8;

  /** Share of the store's read rate for one topic; the other topics need the rest. */
  private static final double RATE_SHARE = 0.5;

  /** Shortest back-off after a failed read, milliseconds. */
  private static final long BACK_OFF_MILLIS = 250;

  /**
   * Returns turns of a fixed length, for a topic whose records have no time by which they must be
   * in force.
   *
   * @param periodMillis time from the last confirmation to the next read by the first entry,
   *     milliseconds
   * @param staggerMillis time that each preceding entry adds to the period, milliseconds
   * @param waitMillis long-poll timeout, milliseconds; 0 for none
   */
  public static ReadTurns fixed(long periodMillis, long staggerMillis, long waitMillis) {
    return new ReadTurns(
        periodMillis,
        waitMillis,
        staggerMillis,
        staggerMillis,
        Long.MAX_VALUE,
        Double.POSITIVE_INFINITY);
  }

  /**
   * Returns turns by which a record is in force in time at all entries while any of them can read
   * it. With 10 s or more allowed, four entries have 1.3 s each.
   *
   * @param allowedMillis time from the store's response to the writer until the record must be in
   *     force, milliseconds
   * @param storeReadsPerSecond reads per second that the store accepts from all entries together
   */
  public static ReadTurns within(long allowedMillis, double storeReadsPerSecond) {
    long wait = Math.min(LONGEST_POLL_MILLIS, (long) (allowedMillis * POLL_SHARE));
    long first = (long) (wait * POLLS_FOR_FIRST);
    long last = (long) (allowedMillis * TURNS_SHARE);
    long stagger = (last - POLL_PERIOD_MILLIS - first) / FULL_STAGGER_ENTRIES;
    return new ReadTurns(
        POLL_PERIOD_MILLIS,
        wait,
        first,
        Math.max(1, Math.min(stagger, first)),
        last,
        storeReadsPerSecond * RATE_SHARE);
  }

  /**
   * Returns the time from the last confirmation to an entry's read, milliseconds.
   *
   * @param turn the entry's position in the order of reading, from 0
   * @param entries number of entries
   */
  public long dueMillis(int turn, int entries) {
    if (turn == 0) {
      return periodMillis;
    }
    int full = Math.min(turn, FULL_STAGGER_ENTRIES) - 1;
    long fullMillis = periodMillis + firstStaggerMillis + full * staggerMillis;
    int later = turn - FULL_STAGGER_ENTRIES;
    return later <= 0 ? fullMillis : fullMillis + (long) (later * laterMillis(fullMillis, entries));
  }

  private double laterMillis(long fullMillis, int entries) {
    int later = Math.max(1, entries - FULL_STAGGER_ENTRIES);
    double inTime = (double) Math.max(0, lastMillis - fullMillis) / later;
    return Math.max(Math.min(staggerMillis * LATER_STAGGER, inTime), 1_000 / readsPerSecond);
  }

  /**
   * Returns the time from a failed read to the next one by the same entry, milliseconds: long
   * enough for the read rate if all entries fail.
   *
   * @param entries number of entries
   */
  public long backOffMillis(int entries) {
    return Math.max(BACK_OFF_MILLIS, (long) Math.ceil(entries * 1_000 / readsPerSecond));
  }
}
