package dev.ibishub.core;

import com.dynatrace.hash4j.hashing.Hashing;
import dev.ibishub.core.internal.membership.ObservedMember;
import dev.ibishub.core.internal.routing.Seconds;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * One process's view of the other processes and their states, kept by gossip and probes. Its inputs
 * are the platform's list of VMs, which lags and is only a hint, this process's own probes, and the
 * digests of peers. A process that misses probes becomes suspect, and then dead unless it refutes
 * the suspicion by raising its refutation number. A record with a higher incarnation or refutation
 * takes precedence over all older ones, in whatever order they arrive. Thread-safe: guarded by one
 * lock.
 *
 * <p>Used behind ibishub's own interface; its counterpart on the platform of its users is {@link
 * dev.ibishub.core.entries.EntryRoster}.
 *
 * <pre>{@code
 * membership.applyList(records, now);
 * membership.recordContact(id, incarnation, now);  // the process answered a probe
 * membership.recordFailedProbe(id, now);           // the process did not answer in time
 * membership.merge(peerDigest, now);
 * send(membership.digest(now));
 * }</pre>
 */
public final class Membership {
  /** How long after a change a record has priority in digests. */
  private static final double RECENT_CHANGE_SECONDS = 5;

  /** How long after a member was heard directly the suspicions of peers are ignored. */
  private static final double RECENTLY_HEARD_SECONDS = 1;

  /** After a refutation, a member is not suspected again for this many suspicion times. */
  private static final int REFUTATION_GRACE_FACTOR = 5;

  private static final double EXPIRY_INTERVAL_SECONDS = 0.1;

  private final MembershipOptions options;
  private final Map<String, ObservedMember> members = new TreeMap<>();
  private MemberRecord self;
  private Optional<Instant> leavingSince = Optional.empty();
  private Optional<List<MemberRecord>> chosenLinks = Optional.empty();
  private Instant lastExpiryAt = Instant.EPOCH;

  private Membership(MemberRecord self, MembershipOptions options) {
    this.self = self.withState(MemberState.ALIVE);
    this.options = options;
  }

  /**
   * Creates the view of a process that knows only itself.
   *
   * @param self this process, with its incarnation
   * @param options options of failure detection and links
   */
  public static Membership create(MemberRecord self, MembershipOptions options) {
    return new Membership(self, options);
  }

  /**
   * Applies the platform's list of VMs. The list lags for new and for removed processes, so it adds
   * members and marks them as leaving but never as dead: a process that is heard stays a member,
   * whatever the list says.
   *
   * @param records the listed processes, with incarnation 0 and state alive or leaving
   * @param now the current time
   */
  public synchronized void applyList(List<MemberRecord> records, Instant now) {
    Set<String> named = records.stream().map(MemberRecord::id).collect(Collectors.toSet());
    List.copyOf(members.values()).stream()
        .filter(known -> known.listed() != named.contains(known.record().id()))
        .forEach(known -> put(known.record().id(), known.withListed(!known.listed())));
    records.stream().filter(this::isOther).forEach(record -> applyListedRecord(record, now));
    expire(now);
  }

  /**
   * Notes that a process was heard on a direct link. A process that is not a member is ignored.
   *
   * @param id id of the process
   * @param incarnation the incarnation that it reported
   * @param now the current time
   */
  public synchronized void recordContact(String id, long incarnation, Instant now) {
    ObservedMember known = members.get(id);
    if (known == null || incarnation < known.record().incarnation()) {
      return;
    }
    MemberRecord record = known.record();
    boolean restarted = incarnation > record.incarnation();
    MemberRecord current = restarted ? record.withIncarnation(incarnation, 0) : record;
    // A process that is listed as leaving and was never heard may have been replaced meanwhile.
    boolean staysLeaving = !restarted && record.state() == MemberState.LEAVING;
    MemberRecord alive = staysLeaving ? current : current.withState(MemberState.ALIVE);
    put(id, known.withRecord(alive, now).withHeard(now));
    expire(now);
  }

  /**
   * Notes that a process did not answer a probe in time.
   *
   * @param id id of the process
   * @param now the current time
   */
  public synchronized void recordFailedProbe(String id, Instant now) {
    ObservedMember known = members.get(id);
    if (known == null) {
      return;
    }
    ObservedMember missed = known.withMissedProbe();
    // A member that refuted is alive, even if this process cannot hear it. Suspecting it again at
    // once would spread a false suspicion for as long as a link is cut in one direction.
    boolean refutedRecently =
        Seconds.between(known.refutedAt(), now)
            < REFUTATION_GRACE_FACTOR * options.suspicionSeconds();
    boolean suspect =
        missed.missedProbes() >= options.missedProbesToSuspect()
            && known.record().state() == MemberState.ALIVE
            && !refutedRecently;
    put(
        id,
        suspect ? missed.withRecord(missed.record().withState(MemberState.SUSPECT), now) : missed);
    expire(now);
  }

  /**
   * Merges a peer's digest. Older records are ignored, so digests may arrive late, repeatedly and
   * in any order. A suspicion of this process itself is refuted.
   *
   * @param digest the peer's records
   * @param now the current time
   */
  public synchronized void merge(Collection<MemberRecord> digest, Instant now) {
    digest.forEach(record -> mergeRecord(record, now));
    expire(now);
  }

  /**
   * Notes that a process is leaving, by its own report or an operator's. For this process itself
   * the refutation number is raised, so that the new state takes precedence over older records.
   *
   * @param id id of the process
   * @param now the current time
   */
  public synchronized void markLeaving(String id, Instant now) {
    if (id.equals(self.id())) {
      self =
          self.withState(MemberState.LEAVING)
              .withIncarnation(self.incarnation(), self.refutation() + 1);
      leavingSince = leavingSince.or(() -> Optional.of(now));
      return;
    }
    ObservedMember known = members.get(id);
    if (known != null) {
      put(id, known.withRecord(known.record().withState(MemberState.LEAVING), now));
    }
  }

  /**
   * Sets the load of this process.
   *
   * @param load 0 when idle
   */
  public synchronized void setLoad(int load) {
    self = self.withLoad(load);
  }

  /** Returns the record of this process, as sent to others. */
  public synchronized MemberRecord self() {
    return self;
  }

  /** Returns when this process began to leave; empty if it is not leaving. */
  public synchronized Optional<Instant> leavingSince() {
    return leavingSince;
  }

  /**
   * Returns the records to send to peers: this process, then recent changes, then a part of the
   * rest that rotates with time, so that every record is sent eventually although each digest is
   * bounded.
   *
   * @param now the current time
   * @return at most {@link MembershipOptions#maximumDigestRecords} records
   */
  public synchronized List<MemberRecord> digest(Instant now) {
    List<ObservedMember> all = List.copyOf(members.values());
    Stream<ObservedMember> recentChanges =
        all.stream()
            .filter(known -> Seconds.between(known.changedAt(), now) <= RECENT_CHANGE_SECONDS)
            .sorted(Comparator.comparing(ObservedMember::changedAt).reversed());
    int offset = all.isEmpty() ? 0 : (int) Math.floorMod(rotation(now), (long) all.size());
    Stream<ObservedMember> rest =
        Stream.concat(all.stream().skip(offset), all.stream().limit(offset));
    Stream<MemberRecord> others =
        Stream.concat(recentChanges, rest)
            .map(ObservedMember::record)
            .filter(record -> record.incarnation() > 0)
            .distinct();
    return Stream.concat(Stream.of(self), others).limit(options.maximumDigestRecords()).toList();
  }

  /** Returns the entries other than this process that are alive and not leaving. */
  public synchronized List<MemberRecord> liveEntries() {
    return aliveMembers(record -> record.role() == MemberRole.ENTRY)
        .map(ObservedMember::record)
        .toList();
  }

  /** Returns the newest record of another process, if it is a member. */
  public synchronized Optional<MemberRecord> member(String id) {
    return Optional.ofNullable(members.get(id)).map(ObservedMember::record);
  }

  /** Returns when a process was last heard on a direct link; empty if never. */
  public synchronized Optional<Instant> heardAt(String id) {
    return Optional.ofNullable(members.get(id))
        .map(ObservedMember::heardAt)
        .filter(heard -> !heard.equals(Instant.EPOCH));
  }

  /**
   * Returns the processes that this one should keep links to: bounded numbers of targets in its own
   * failure domain, of targets in others and of entries, chosen by rendezvous hashing. A dead
   * process is included as long as it is listed, as otherwise the end of a partition would go
   * unnoticed.
   *
   * @return the processes, in no particular order
   */
  public synchronized List<MemberRecord> membersToLink() {
    List<MemberRecord> known = chosenLinks.orElseGet(this::chooseLinks);
    chosenLinks = Optional.of(known);
    return known;
  }

  private List<MemberRecord> chooseLinks() {
    Stream<MemberRecord> inZone =
        closest(
            options.targetsInZone(),
            record -> record.role() == MemberRole.AGENT && record.zone().equals(self.zone()));
    Stream<MemberRecord> outside =
        closest(
            options.targetsOutsideZone(),
            record -> record.role() == MemberRole.AGENT && !record.zone().equals(self.zone()));
    Stream<MemberRecord> entries =
        closest(options.peers(), record -> record.role() == MemberRole.ENTRY);
    return Stream.of(inZone, outside, entries).flatMap(part -> part).toList();
  }

  private Stream<MemberRecord> closest(int count, Predicate<MemberRecord> filter) {
    long own = hash(self.id());
    return members.values().stream()
        .filter(known -> known.listed() || known.record().state() != MemberState.DEAD)
        .map(ObservedMember::record)
        .filter(filter)
        .map(record -> new ScoredRecord(score(own, record.id()), record))
        .sorted(Comparator.comparingLong(ScoredRecord::score))
        .limit(count)
        .map(ScoredRecord::record);
  }

  private static long score(long own, String id) {
    return Hashing.komihash5_0().hashLongLongToLong(own, hash(id));
  }

  private static long hash(String id) {
    return Hashing.komihash5_0().hashCharsToLong(id);
  }

  private Stream<ObservedMember> aliveMembers(Predicate<MemberRecord> filter) {
    return members.values().stream()
        .filter(known -> known.record().state() == MemberState.ALIVE)
        .filter(known -> filter.test(known.record()));
  }

  private boolean isOther(MemberRecord record) {
    return !record.id().equals(self.id());
  }

  private void applyListedRecord(MemberRecord record, Instant now) {
    ObservedMember known = members.get(record.id());
    if (known == null) {
      put(record.id(), ObservedMember.of(record.withIncarnation(0, 0), true, now));
      return;
    }
    MemberRecord before = known.record();
    boolean moved = before.port() != record.port() || !before.host().equals(record.host());
    boolean silent = before.state() == MemberState.SUSPECT || before.state() == MemberState.DEAD;
    if (moved && silent) {
      put(record.id(), known.withRecord(record.withIncarnation(0, 0), now));
    } else if (record.state() == MemberState.LEAVING && before.state() == MemberState.ALIVE) {
      put(record.id(), known.withRecord(before.withState(MemberState.LEAVING), now));
    }
  }

  private void mergeRecord(MemberRecord record, Instant now) {
    if (!isOther(record)) {
      refute(record);
      return;
    }
    ObservedMember known = members.get(record.id());
    if (known == null) {
      put(record.id(), ObservedMember.of(record, false, now));
    } else if (record.supersedes(known.record()) && !isContradicted(record, known, now)) {
      put(record.id(), known.withRecord(record, now));
    } else if (record.state() == known.record().state()) {
      put(record.id(), known.withRecord(known.record().withLoadAndUrlFrom(record), now));
    }
  }

  /**
   * Tells whether a record suspects a process that this one has just heard itself. Such a suspicion
   * is wrong and is not passed on.
   */
  private static boolean isContradicted(MemberRecord reported, ObservedMember known, Instant now) {
    boolean suspicion =
        reported.state() == MemberState.SUSPECT || reported.state() == MemberState.DEAD;
    return suspicion
        && known.missedProbes() == 0
        && reported.incarnation() == known.record().incarnation()
        && Seconds.between(known.heardAt(), now) < RECENTLY_HEARD_SECONDS;
  }

  /**
   * Refutes a wrong state of this process. A process that others consider suspect or dead gets no
   * work although it is alive, for instance after a pause or a partition in one direction. Its own
   * record with a higher refutation number takes precedence at all others.
   */
  private void refute(MemberRecord reported) {
    boolean aboutThisRun = reported.incarnation() == self.incarnation();
    boolean wrong = reported.state() != self.state() && reported.refutation() >= self.refutation();
    if (aboutThisRun && wrong) {
      self = self.withIncarnation(self.incarnation(), reported.refutation() + 1);
    }
  }

  /**
   * Makes overdue suspects dead and removes old dead members; rate-limited, as it scans them all.
   */
  private void expire(Instant now) {
    if (Seconds.between(lastExpiryAt, now) < EXPIRY_INTERVAL_SECONDS
        && !now.isBefore(lastExpiryAt)) {
      return;
    }
    lastExpiryAt = now;
    List.copyOf(members.values()).stream()
        .filter(known -> isOverdue(known, now))
        .forEach(known -> put(known.record().id(), dead(known, now)));
    if (members.values().removeIf(known -> isRemovable(known, now))) {
      chosenLinks = Optional.empty();
    }
  }

  private void put(String id, ObservedMember known) {
    ObservedMember before = members.put(id, known);
    if (before == null || !before.hasSameLinkAs(known)) {
      chosenLinks = Optional.empty();
    }
  }

  private boolean isOverdue(ObservedMember known, Instant now) {
    return known.record().state() == MemberState.SUSPECT
        && Seconds.between(known.suspectedAt(), now) >= options.suspicionSeconds();
  }

  private static ObservedMember dead(ObservedMember known, Instant now) {
    return known.withRecord(known.record().withState(MemberState.DEAD), now);
  }

  private boolean isRemovable(ObservedMember known, Instant now) {
    return known.record().state() == MemberState.DEAD
        && !known.listed()
        && Seconds.between(known.changedAt(), now) >= options.removalSeconds();
  }

  /** Returns a number that increases every 100 milliseconds. */
  private static long rotation(Instant now) {
    return now.toEpochMilli() / 100;
  }

  private record ScoredRecord(long score, MemberRecord record) {}
}
