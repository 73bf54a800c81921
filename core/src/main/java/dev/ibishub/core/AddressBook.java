package dev.ibishub.core;

import dev.ibishub.core.internal.routing.Seconds;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Selects the entry addresses that an entry gives to callers, and tells how long a leaving entry
 * must keep serving because callers may still use its address. Thread-safe: its only mutable state
 * is in {@link Membership}.
 */
public final class AddressBook {
  /** The smallest remaining part of the validity with which another entry's address is given. */
  private static final double MINIMUM_VALID_FRACTION = 0.5;

  private final Membership membership;
  private final double validSeconds;
  private final double maximumDelaySeconds;
  private final int maximumAddresses;

  private AddressBook(
      Membership membership,
      double validSeconds,
      double maximumDelaySeconds,
      int maximumAddresses) {
    this.membership = membership;
    this.validSeconds = validSeconds;
    this.maximumDelaySeconds = maximumDelaySeconds;
    this.maximumAddresses = maximumAddresses;
  }

  /**
   * Creates an address book.
   *
   * @param membership this entry's view of the processes
   * @param validSeconds time in seconds for which callers may use an address
   * @param maximumDelaySeconds bound in seconds on the delay of a message between entries and on
   *     the difference of their clocks
   * @param maximumAddresses the most addresses in one answer
   */
  public static AddressBook create(
      Membership membership,
      double validSeconds,
      double maximumDelaySeconds,
      int maximumAddresses) {
    if (!(validSeconds > 0) || !(maximumDelaySeconds >= 0) || maximumAddresses < 1) {
      throw new IllegalArgumentException(
          "validSeconds, maximumDelaySeconds or maximumAddresses too small");
    }
    return new AddressBook(membership, validSeconds, maximumDelaySeconds, maximumAddresses);
  }

  /**
   * Returns the addresses for a caller, best first: those in this failure domain before others,
   * then by ascending load.
   *
   * <p>Another entry is included only if this entry heard it alive on a direct link, and its
   * address is valid from that time on. A third entry's report does not count, as that entry may
   * not know yet that the reported one is leaving. {@link #servesUntil} relies on this.
   *
   * @param now the current time
   * @return the addresses; empty if this entry is leaving and has heard no other recently
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
        .limit(maximumAddresses)
        .map(Candidate::address)
        .toList();
  }

  /**
   * Returns the time until which a leaving entry must serve callers: by then the last address given
   * out for it has expired.
   *
   * @return the time, or empty while this entry is not leaving
   */
  public Optional<Instant> servesUntil() {
    return membership
        .leavingSince()
        .map(since -> Seconds.after(since, validSeconds + maximumDelaySeconds));
  }

  private Optional<Candidate> candidate(MemberRecord record, Instant now) {
    return membership
        .heardAt(record.id())
        .map(heard -> Seconds.after(heard, validSeconds))
        .filter(until -> Seconds.between(now, until) >= validSeconds * MINIMUM_VALID_FRACTION)
        .map(until -> new Candidate(record, until));
  }

  private record Candidate(MemberRecord record, Instant validUntil) {
    EntryAddress address() {
      return new EntryAddress(record.callerUrl(), record.zone(), validUntil);
    }
  }
}
