package dev.ibishub.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

class AddressBookTest {
  private static final Instant NOW = Instant.parse("2026-03-01T08:00:00Z");
  private static final long INCARNATION = 5;

  private final Membership membership =
      Membership.create(entry("entry-1", "http://127.0.0.1:1", 3), MembershipOptions.defaults());
  private final AddressBook book = AddressBook.create(membership, 30, 2, 3);

  /**
   * Guards against an empty address given to a caller, who then cannot connect. The platform's list
   * contains an entry without its URL for callers, and the entry is heard on a link before its
   * first digest arrives.
   */
  @Test
  void omitsEntryWhoseUrlIsNotKnownYet() {
    membership.applyList(List.of(entry("entry-2", "", 0)), NOW);
    membership.recordContact("entry-2", INCARNATION, NOW);

    assertThat(book.addresses(NOW))
        .extracting(EntryAddress::url)
        .containsOnly("http://127.0.0.1:1");
  }

  /**
   * Guards against answers that never contain another entry. The digest with the URL has the same
   * incarnation as the record made from the list and the link, so it does not supersede that record
   * and its URL would be lost.
   */
  @Test
  void includesEntryWhoseUrlArrivesWithDigestAfterLink() {
    membership.applyList(List.of(entry("entry-2", "", 0)), NOW);
    membership.recordContact("entry-2", INCARNATION, NOW);
    membership.merge(List.of(entry("entry-2", "http://127.0.0.1:2", INCARNATION)), NOW);

    assertThat(book.addresses(NOW)).extracting(EntryAddress::url).contains("http://127.0.0.1:2");
  }

  private static MemberRecord entry(String id, String url, long incarnation) {
    return new MemberRecord(
        id, MemberRole.ENTRY, "vake", "127.0.0.1", 9, url, incarnation, 0, MemberState.ALIVE, 0);
  }
}
