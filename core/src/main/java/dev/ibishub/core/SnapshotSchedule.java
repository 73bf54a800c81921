package dev.ibishub.core;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;

/**
 * Decides when a process appends a snapshot of the configuration to the log, before retention
 * deletes the record from which a process without state could restore it. Rendezvous hashing puts
 * the live processes in order: the first one writes, and each further one has a later deadline, so
 * that a failed or partitioned writer, or different views of who is live, delay the snapshot but
 * don't prevent it.
 */
public final class SnapshotSchedule {
  /** Deadline of the first process, in percent of the retention. */
  private static final int FIRST_DEADLINE_PERCENT = 50;

  /** Delay of each further process after the one before it, in percent of the retention. */
  private static final int DEADLINE_STEP_PERCENT = 5;

  /**
   * Position from which on all processes have the same deadline, which leaves time to repeat a
   * failed append.
   */
  private static final int LAST_POSITION = 6;

  private SnapshotSchedule() {}

  /**
   * Tells when a process should append a snapshot.
   *
   * @param restorePointAt when the record was appended from which a process without state could
   *     restore the configuration, see {@link ConfigurationReader#restorePointAt}
   * @param retention how long the log keeps records
   * @param self id of the process
   * @param live ids of all live processes that may write, as this one sees them
   * @param revision the revision in force; the order of the processes differs from revision to
   *     revision
   * @return the deadline; once it has passed, the process writes
   */
  public static Instant dueAt(
      Instant restorePointAt,
      Duration retention,
      String self,
      Collection<String> live,
      long revision) {
    long position =
        live.stream()
            .filter(other -> !other.equals(self))
            .filter(other -> score(other, revision) < score(self, revision))
            .count();
    long percent =
        FIRST_DEADLINE_PERCENT + DEADLINE_STEP_PERCENT * Math.min(position, LAST_POSITION);
    return restorePointAt.plus(retention.multipliedBy(percent).dividedBy(100));
  }

  private static long score(String process, long revision) {
    return Hashing.komihash5_0().hashCharsToLong(process + '#' + revision);
  }
}
