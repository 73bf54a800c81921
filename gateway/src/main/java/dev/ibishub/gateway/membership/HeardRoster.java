package dev.ibishub.gateway.membership;

import dev.ibishub.core.entries.EntryFacts;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * The entries that one entry hears itself, under a number that changes with anything they say but
 * the time. A receiver that knows the roster of a number needs only the times. Immutable.
 *
 * @param number the number; higher than those of the sender's earlier rosters
 * @param facts what the entries say, in the order of their hosts
 * @param heardAt when each said so, on the sender's clock
 */
record HeardRoster(long number, List<EntryFacts> facts, List<Long> heardAt) {
  static final HeardRoster NOBODY = new HeardRoster(0, List.of(), List.of());

  HeardRoster {
    facts = List.copyOf(facts);
    heardAt = List.copyOf(heardAt);
  }

  /** Returns the roster after this one. */
  HeardRoster next(Map<EntryFacts, Long> heard) {
    List<EntryFacts> sorted =
        heard.keySet().stream().sorted(Comparator.comparing(EntryFacts::host)).toList();
    long nextNumber = sorted.equals(facts) ? number : number + 1;
    return new HeardRoster(nextNumber, sorted, sorted.stream().map(heard::get).toList());
  }
}
