package dev.ibishub.entry;

import com.dynatrace.hash4j.hashing.Hashing;
import dev.ibishub.core.MemberRecord;
import dev.ibishub.core.Membership;
import java.util.Comparator;
import java.util.stream.Stream;

/**
 * Assigns tasks to live entries by rendezvous hashing. Entries whose membership views differ may
 * both own a task, so a task assigned here must be safe to run twice.
 */
final class TaskAssignment {
  private final Membership membership;

  TaskAssignment(Membership membership) {
    this.membership = membership;
  }

  /** Whether this entry owns a task, by its own view of the membership. */
  boolean ownsTask(String task) {
    String self = membership.self().id();
    return membership.leavingSince().isEmpty()
        && Stream.concat(Stream.of(self), membership.liveEntries().stream().map(MemberRecord::id))
            .max(Comparator.comparingLong((String entry) -> score(entry, task)))
            .filter(self::equals)
            .isPresent();
  }

  private static long score(String entry, String task) {
    return Hashing.xxh3_64().hashStream().putString(entry).putString(task).getAsLong();
  }
}
