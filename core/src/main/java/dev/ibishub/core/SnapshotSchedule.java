package dev.ibishub.core;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;

/**
 * Decides when a process appends the configuration to the log again, before retention takes the
 * record from which an empty process could learn it. One process does it, chosen by rendezvous
 * hashing over the live ones; the others follow one after the other, each at a later deadline, so
 * that a dead or cut-off writer, or different views of who is live, delay it but never prevent it.
 */
public final class SnapshotSchedule {
  /** Share of the retention after which the first process writes. */
  private static final int FIRST_PERCENT = 50;

  /** Share of the retention by which each further process waits longer. */
  private static final int STEP_PERCENT = 5;

  /** From this rank on all write at the same deadline, while there is still time to repeat it. */
  private static final int LAST_RANK = 6;

  private SnapshotSchedule() {}

  /**
   * Tells when a process should append a snapshot.
   *
   * @param keptSince when the log took the record from which an empty process could start now
   * @param retention how long the log keeps records
   * @param self the process
   * @param live all processes that might write, as this one sees them
   * @param revision the revision in force, so that the choice moves on with it
   * @return the deadline; once it has passed, the process writes
   */
  public static Instant dueAt(
      Instant keptSince, Duration retention, String self, Collection<String> live, long revision) {
    long rank =
        live.stream()
            .filter(other -> !other.equals(self))
            .filter(other -> weight(other, revision) < weight(self, revision))
            .count();
    long percent = FIRST_PERCENT + STEP_PERCENT * Math.min(rank, LAST_RANK);
    return keptSince.plus(retention.multipliedBy(percent).dividedBy(100));
  }

  private static long weight(String process, long revision) {
    return Hashing.komihash5_0().hashCharsToLong(process + '#' + revision);
  }
}
