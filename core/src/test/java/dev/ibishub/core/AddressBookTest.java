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
   * A caller is told an empty address and fails before it has sent anything. The platform's list
   * names an entry without its address for callers; a link to it opens, so it is heard, before its
   * own digest has come.
   */
  @Test
  void entryWhoseAddressIsNotKnownYetIsNotNamed() {
    membership.listed(List.of(entry("entry-2", "", 0)), NOW);
    membership.heard("entry-2", INCARNATION, NOW);

    assertThat(book.addresses(NOW))
        .extracting(EntryAddress::url)
        .containsOnly("http://127.0.0.1:1");
  }

  /**
   * Callers are only ever told one entry. The digest with the address has the same incarnation as
   * the record made of the list and the link, so it counted as old news and its address was lost.
   */
  @Test
  void addressComesWithTheFirstDigestAfterTheLink() {
    membership.listed(List.of(entry("entry-2", "", 0)), NOW);
    membership.heard("entry-2", INCARNATION, NOW);
    membership.merge(List.of(entry("entry-2", "http://127.0.0.1:2", INCARNATION)), NOW);

    assertThat(book.addresses(NOW)).extracting(EntryAddress::url).contains("http://127.0.0.1:2");
  }

  private static MemberRecord entry(String id, String url, long incarnation) {
    return new MemberRecord(
        id, MemberRole.ENTRY, "vake", "127.0.0.1", 9, url, incarnation, 0, MemberState.ALIVE, 0);
  }
}
