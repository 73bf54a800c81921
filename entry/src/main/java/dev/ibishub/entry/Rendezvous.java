package dev.ibishub.entry;

import com.dynatrace.hash4j.hashing.Hashing;
import dev.ibishub.core.MemberRecord;
import dev.ibishub.core.Membership;
import java.util.Comparator;
import java.util.stream.Stream;

/**
 * Chooses one live entry for a task by rendezvous hashing. Entries whose views differ may choose
 * different ones, so what is chosen here must do no harm when done twice.
 */
final class Rendezvous {
  private final Membership membership;

  Rendezvous(Membership membership) {
    this.membership = membership;
  }

  /** Whether this entry is the one for a task, as far as it knows. */
  boolean isMine(String task) {
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
