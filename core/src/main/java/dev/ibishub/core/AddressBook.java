package dev.ibishub.core;

import dev.ibishub.core.internal.routing.Seconds;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The addresses that an entry gives to callers, and how long a leaving entry must go on serving
 * because an answer that names it may still be in use. Thread-safe: it keeps no state but what
 * {@link Membership} has.
 */
public final class AddressBook {
  private static final double SHORTEST_VALID_SHARE = 0.5;

  private final Membership membership;
  private final double validSeconds;
  private final double newsSeconds;
  private final int mostAddresses;

  private AddressBook(
      Membership membership, double validSeconds, double newsSeconds, int mostAddresses) {
    this.membership = membership;
    this.validSeconds = validSeconds;
    this.newsSeconds = newsSeconds;
    this.mostAddresses = mostAddresses;
  }

  /**
   * Creates an address book.
   *
   * @param membership this entry's view
   * @param validSeconds for how long callers may use an answer
   * @param newsSeconds bound on how long a message between entries is under way, and on how far
   *     their clocks differ
   * @param mostAddresses of one answer
   */
  public static AddressBook create(
      Membership membership, double validSeconds, double newsSeconds, int mostAddresses) {
    if (!(validSeconds > 0) || !(newsSeconds >= 0) || mostAddresses < 1) {
      throw new IllegalArgumentException("validSeconds, newsSeconds or mostAddresses too small");
    }
    return new AddressBook(membership, validSeconds, newsSeconds, mostAddresses);
  }

  /**
   * The addresses for a caller, best first: this failure domain before others, then the least
   * loaded.
   *
   * <p>An entry is named only on its own word, and no longer than that word allows: it was heard
   * alive directly, not through a third entry, which may not yet know that it is leaving. That is
   * what makes {@link #servesUntil} a bound.
   *
   * @param now the current time
   * @return the addresses; empty when this entry leaves and hears no other
   */
  public List<EntryAddress> addresses(Instant now) {
    MemberRecord self = membership.self();
    Stream<Candidate> own =
        self.state() == MemberState.ALIVE
            ? Stream.of(new Candidate(self, Seconds.after(now, validSeconds)))
            : Stream.empty();
    Stream<Candidate> others =
        membership.liveEntries().stream()
            .filter(record -> !record.callerUrl().isEmpty())
            .flatMap(record -> candidate(record, now).stream());
    return Stream.concat(own, others)
        .sorted(
            Comparator.comparing((Candidate entry) -> !entry.record().zone().equals(self.zone()))
                .thenComparing(entry -> entry.record().load())
                .thenComparing(entry -> entry.record().id()))
        .limit(mostAddresses)
        .map(Candidate::address)
        .toList();
  }

  /**
   * Until when this entry has to serve callers after it began to leave: the last answer that may
   * name it has run out then.
   *
   * @return empty while it is not leaving
   */
  public Optional<Instant> servesUntil() {
    return membership.leavingSince().map(since -> Seconds.after(since, validSeconds + newsSeconds));
  }

  private Optional<Candidate> candidate(MemberRecord record, Instant now) {
    return membership
        .heardAt(record.id())
        .map(heard -> Seconds.after(heard, validSeconds))
        .filter(until -> Seconds.between(now, until) >= validSeconds * SHORTEST_VALID_SHARE)
        .map(until -> new Candidate(record, until));
  }

  private record Candidate(MemberRecord record, Instant validUntil) {
    EntryAddress address() {
      return new EntryAddress(record.callerUrl(), record.zone(), validUntil);
    }
  }
}
