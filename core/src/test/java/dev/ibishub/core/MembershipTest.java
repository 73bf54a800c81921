package dev.ibishub.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class MembershipTest {
  private static final Instant NOW = Instant.parse("2026-12-02T00:00:00Z");
  private static final MembershipOptions OPTIONS = new MembershipOptions(2, 2, 60, 4, 2, 3, 8);

  private final Membership membership = membershipOf("entry-0");

  /**
   * Guards against callers being sent to a dead entry: the list of VMs still contains it for
   * minutes.
   */
  @Test
  void deadEntryStaysDeadWhenListStillContainsIt() {
    addKnownEntry("entry-1", 1);
    missTwoProbes("entry-1", NOW);
    membership.recordFailedProbe("entry-1", NOW.plusSeconds(3));
    membership.applyList(List.of(listed("entry-1", MemberState.ALIVE)), NOW.plusSeconds(4));

    assertThat(membership.liveEntries()).isEmpty();
    assertThat(membership.member("entry-1").orElseThrow().state()).isEqualTo(MemberState.DEAD);
  }

  /** Guards against a live entry that gets no callers because the list of VMs omits it. */
  @Test
  void entryThatIsHeardStaysLiveWhenListOmitsIt() {
    addKnownEntry("entry-1", 1);
    membership.applyList(List.of(), NOW.plusSeconds(1));
    membership.recordContact("entry-1", 1, NOW.plusSeconds(100));

    assertThat(membership.liveEntries()).extracting(MemberRecord::id).containsExactly("entry-1");
  }

  /**
   * Guards against an entry that gets no callers after a short pause because others suspect it. Its
   * own record with a higher refutation number takes precedence, also over suspicions that arrive
   * late.
   */
  @Test
  void refutationWinsOverSuspicionThatArrivesLater() {
    addKnownEntry("entry-1", 1);
    missTwoProbes("entry-1", NOW);
    MemberRecord suspicion = membership.member("entry-1").orElseThrow();
    Membership suspect = membershipOf("entry-1");
    suspect.merge(List.of(suspicion), NOW);
    membership.merge(suspect.digest(NOW), NOW);
    membership.merge(List.of(suspicion), NOW);

    assertThat(membership.liveEntries()).extracting(MemberRecord::id).containsExactly("entry-1");
  }

  /**
   * Guards against a live entry that gets no callers: one of its peers cannot hear it, and the
   * other peers trust that suspicion more than their own links.
   */
  @Test
  void suspicionByPeerIsIgnoredForEntryThatIsHeard() {
    addKnownEntry("entry-1", 1);
    membership.recordContact("entry-1", 1, NOW);
    membership.merge(List.of(record("entry-1", 1).withState(MemberState.SUSPECT)), NOW);

    assertThat(membership.liveEntries()).hasSize(1);
  }

  /** Guards against a false suspicion that recurs as long as a link is cut in one direction. */
  @Test
  void entryThatJustRefutedIsNotSuspectedAgain() {
    addKnownEntry("entry-1", 1);
    missTwoProbes("entry-1", NOW);
    membership.merge(List.of(record("entry-1", 1).withIncarnation(1, 1)), NOW.plusSeconds(1));
    missTwoProbes("entry-1", NOW.plusSeconds(2));

    assertThat(membership.liveEntries()).hasSize(1);
  }

  @Test
  void oneMissedProbeDoesNotMakeEntrySuspect() {
    addKnownEntry("entry-1", 1);
    membership.recordFailedProbe("entry-1", NOW);
    membership.recordContact("entry-1", 1, NOW);
    membership.recordFailedProbe("entry-1", NOW);

    assertThat(membership.liveEntries()).hasSize(1);
  }

  /** The state of a restarted process must not depend on its earlier incarnation. */
  @Test
  void newIncarnationIsAliveWhenEarlierOneWasDead() {
    addKnownEntry("entry-1", 1);
    missTwoProbes("entry-1", NOW);
    membership.recordFailedProbe("entry-1", NOW.plusSeconds(3));
    MemberRecord dead = membership.member("entry-1").orElseThrow();
    membership.recordContact("entry-1", 2, NOW.plusSeconds(4));
    membership.merge(List.of(dead), NOW.plusSeconds(5));

    assertThat(membership.liveEntries()).hasSize(1);
  }

  /**
   * Guards against an entry that shuts down while callers still use its address. A peer could give
   * out the address because of the report of a third entry, which does not know yet that the entry
   * is leaving.
   */
  @Test
  void leavingEntryServesUntilItsLastAddressExpires() {
    Membership leaving = membershipOf("entry-1");
    AddressBook own = AddressBook.create(leaving, 30, 1, 3);
    AddressBook peer = AddressBook.create(membership, 30, 1, 3);
    addKnownEntry("entry-1", 1);
    membership.recordContact("entry-1", 1, NOW);
    leaving.markLeaving("entry-1", NOW);

    // The peer does not know that the entry is leaving, and gets a third entry's record with state
    // alive.
    membership.merge(List.of(record("entry-1", 1)), NOW.plusSeconds(14));
    Instant expiresAt = validUntil(peer, "entry-1", NOW.plusSeconds(14));

    assertThat(own.servesUntil().orElseThrow()).isAfterOrEqualTo(expiresAt);
    assertThat(own.addresses(NOW)).isEmpty();
  }

  @Test
  void addressesOmitLeavingEntryAfterItsDigest() {
    Membership leaving = membershipOf("entry-1");
    addKnownEntry("entry-1", 1);
    membership.recordContact("entry-1", 1, NOW);
    leaving.markLeaving("entry-1", NOW);
    membership.merge(leaving.digest(NOW), NOW);
    membership.recordContact("entry-1", 1, NOW);

    assertThat(AddressBook.create(membership, 30, 1, 3).addresses(NOW))
        .extracting(EntryAddress::url)
        .containsExactly("http://entry-0");
  }

  @Test
  void addressesAreSortedByOwnZoneAndThenByLoad() {
    Stream.of(
            record("far", 1).withLoad(0),
            inZone(record("busy", 1), "zone-0").withLoad(9),
            inZone(record("calm", 1), "zone-0").withLoad(1))
        .forEach(
            record -> {
              membership.merge(List.of(record), NOW);
              membership.recordContact(record.id(), 1, NOW);
            });
    membership.setLoad(5);

    assertThat(AddressBook.create(membership, 30, 1, 9).addresses(NOW))
        .extracting(EntryAddress::url)
        .containsExactly("http://calm", "http://entry-0", "http://busy", "http://far");
  }

  @Test
  void linksAreBoundedAndMostlyStayWhenMembersAreAdded() {
    membership.applyList(agents(0, 50), NOW);
    List<MemberRecord> before = membership.membersToLink();
    membership.applyList(agents(0, 52), NOW);

    assertThat(before).hasSize(6);
    assertThat(membership.membersToLink()).filteredOn(before::contains).hasSizeGreaterThan(3);
  }

  @Test
  void digestIsBoundedAndEventuallySendsAllRecords() {
    IntStream.range(0, 40)
        .forEach(number -> membership.merge(List.of(record("entry-x" + number, 1)), NOW));

    List<String> sentIds =
        IntStream.range(0, 400)
            .mapToObj(tenth -> membership.digest(NOW.plusSeconds(60).plusMillis(100L * tenth)))
            .peek(digest -> assertThat(digest).hasSizeLessThanOrEqualTo(8))
            .flatMap(List::stream)
            .map(MemberRecord::id)
            .distinct()
            .toList();

    assertThat(sentIds).hasSize(41);
  }

  private static Instant validUntil(AddressBook book, String entry, Instant now) {
    return book.addresses(now).stream()
        .filter(address -> address.url().equals("http://" + entry))
        .findFirst()
        .orElseThrow()
        .validUntil();
  }

  private void addKnownEntry(String id, long incarnation) {
    membership.applyList(List.of(listed(id, MemberState.ALIVE)), NOW);
    membership.merge(List.of(record(id, incarnation)), NOW);
  }

  private void missTwoProbes(String id, Instant now) {
    membership.recordFailedProbe(id, now);
    membership.recordFailedProbe(id, now);
  }

  private static Membership membershipOf(String id) {
    return Membership.create(inZone(record(id, 1), "zone-0"), OPTIONS);
  }

  private static List<MemberRecord> agents(int from, int until) {
    return IntStream.range(from, until)
        .mapToObj(
            number ->
                new MemberRecord(
                    "agent-" + number,
                    MemberRole.AGENT,
                    "zone-" + number % 2,
                    "127.0.0.1",
                    1,
                    "",
                    0,
                    0,
                    MemberState.ALIVE,
                    0))
        .toList();
  }

  private static MemberRecord listed(String id, MemberState state) {
    return record(id, 0).withState(state);
  }

  private static MemberRecord record(String id, long incarnation) {
    return new MemberRecord(
        id,
        MemberRole.ENTRY,
        "zone-1",
        "127.0.0.1",
        1,
        "http://" + id,
        incarnation,
        0,
        MemberState.ALIVE,
        0);
  }

  private static MemberRecord inZone(MemberRecord record, String zone) {
    return new MemberRecord(
        record.id(),
        record.role(),
        zone,
        record.host(),
        record.port(),
        record.callerUrl(),
        record.incarnation(),
        record.refutation(),
        record.state(),
        record.load());
  }
}
