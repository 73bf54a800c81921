package dev.ibishub.core.entries;

import java.util.Comparator;

/**
 * A position among all records of a log that may come back from an older copy of itself. Its
 * offsets then go back and are given out a second time, and its epoch rises, so two positions are
 * compared as a whole: by their epochs first. Immutable.
 *
 * @param epoch number of the log's epoch; rises each time the log comes back from a copy
 * @param offset the offset within the epoch, from 0
 */
public record LogPosition(long epoch, long offset) implements Comparable<LogPosition> {
  /**
   * The epoch of a log that has never stated one, and of other entries' messages that state none.
   * It is lower than any stated one.
   */
  public static final long UNSTATED_EPOCH = 0;

  private static final Comparator<LogPosition> ORDER =
      Comparator.comparingLong(LogPosition::epoch).thenComparingLong(LogPosition::offset);

  @Override
  public int compareTo(LogPosition other) {
    return ORDER.compare(this, other);
  }

  /** Whether this position comes after another one. */
  public boolean isAfter(LogPosition other) {
    return compareTo(other) > 0;
  }

  /** Whether this position comes before another one. */
  public boolean isBefore(LogPosition other) {
    return compareTo(other) < 0;
  }

  /** Returns the position at an offset in the same epoch. */
  public LogPosition at(long newOffset) {
    return new LogPosition(epoch, newOffset);
  }
}
