package dev.ibishub.gateway.records;

import java.util.Comparator;

/**
 * The place of a record among all records of its key, as its writer states it. Unlike the record's
 * position, it says which of two records is later even if the log came back from an older copy
 * between them. Immutable.
 *
 * @param incarnation when the process that wrote it started, in a unit of the writer's choice; 0 if
 *     the writer states none
 * @param count number that rises with each record of one incarnation
 */
public record Revision(long incarnation, long count) implements Comparable<Revision> {
  private static final Comparator<Revision> ORDER =
      Comparator.comparingLong(Revision::incarnation).thenComparingLong(Revision::count);

  @Override
  public int compareTo(Revision other) {
    return ORDER.compare(this, other);
  }
}
