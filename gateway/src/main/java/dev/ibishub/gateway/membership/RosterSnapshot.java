package dev.ibishub.gateway.membership;

import dev.ibishub.core.entries.EntryFacts;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * The entries that one entry hears directly, with the time of each one's last heartbeat. Immutable.
 *
 * <p>The version changes with the facts but not with the times, so a receiver that already has the
 * roster of a version needs only the times.
 *
 * @param version grows whenever the facts change
 * @param facts what the entries announce of themselves, sorted by host
 * @param heardAt when each of them was last heard, in the order of {@code facts}; milliseconds on
 *     the sender's monotonic clock
 */
record RosterSnapshot(long version, List<EntryFacts> facts, List<Long> heardAt) {
  static final RosterSnapshot EMPTY = new RosterSnapshot(0, List.of(), List.of());

  RosterSnapshot {
    facts = List.copyOf(facts);
    heardAt = List.copyOf(heardAt);
  }

  /**
   * Returns the snapshot that follows this one; it has the same version if the facts are unchanged.
   *
   * @param heard the entries heard directly, each with the time of its last heartbeat
   */
  RosterSnapshot next(Map<EntryFacts, Long> heard) {
    List<EntryFacts> sorted =
        heard.keySet().stream().sorted(Comparator.comparing(EntryFacts::host)).toList();
    long nextVersion = sorted.equals(facts) ? version : version + 1;
    return new RosterSnapshot(nextVersion, sorted, sorted.stream().map(heard::get).toList());
  }
}
