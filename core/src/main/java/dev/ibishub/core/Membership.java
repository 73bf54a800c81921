package dev.ibishub.core;

import com.dynatrace.hash4j.hashing.Hashing;
import dev.ibishub.core.internal.membership.Known;
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
 * Which processes there are and which of them can be relied on, as one process sees it. It is fed
 * by the platform's list of VMs, which lags and is only a hint, by its own probes and by the
 * digests of peers. A process that misses probes becomes suspect, and dead unless it refutes the
 * suspicion, which it does by raising its refutation number; a record with a higher incarnation or
 * refutation wins over all older ones, in whatever order they come. Thread-safe by one lock.
 *
 * <pre>{@code
 * membership.listed(records, now);
 * membership.heard(id, incarnation, now);      // it answered a probe
 * membership.missed(id, now);                  // it did not
 * membership.merge(peerDigest, now);
 * send(membership.digest(now));
 * }</pre>
 */
public final class Membership {
  private static final double NEWS_SECONDS = 5;
  private static final double HEARD_LATELY_SECONDS = 1;
  private static final int SUSPICIONS_APART = 5;
  private static final double ADVANCE_SECONDS = 0.1;

  private final MembershipOptions options;
  private final Map<String, Known> members = new TreeMap<>();
  private MemberRecord self;
  private Optional<Instant> leavingSince = Optional.empty();
  private Optional<List<MemberRecord>> links = Optional.empty();
  private Instant advancedAt = Instant.EPOCH;

  private Membership(MemberRecord self, MembershipOptions options) {
    this.self = self.withState(MemberState.ALIVE);
    this.options = options;
  }

  /**
   * Creates the view of a process that knows only itself.
   *
   * @param self this process, with its incarnation
   * @param options how to judge
   */
  public static Membership create(MemberRecord self, MembershipOptions options) {
    return new Membership(self, options);
  }

  /**
   * Takes the platform's list. The list lags both ways, so it adds and marks members but never
   * kills one: a process that is heard is there, whatever the list says.
   *
   * @param records what the list names, with incarnation 0 and state alive or leaving
   * @param now the current time
   */
  public synchronized void listed(List<MemberRecord> records, Instant now) {
    Set<String> named = records.stream().map(MemberRecord::id).collect(Collectors.toSet());
    List.copyOf(members.values()).stream()
        .filter(known -> known.listed() != named.contains(known.record().id()))
        .forEach(known -> put(known.record().id(), known.listed(!known.listed())));
    records.stream().filter(this::isOther).forEach(record -> takeListed(record, now));
    advance(now);
  }

  /**
   * Notes that a process was heard on a direct link.
   *
   * @param id of the process
   * @param incarnation that it gave
   * @param now the current time
   */
  public synchronized void heard(String id, long incarnation, Instant now) {
    Known known = members.get(id);
    if (known == null || incarnation < known.record().incarnation()) {
      return;
    }
    MemberRecord record = known.record();
    boolean restarted = incarnation > record.incarnation();
    MemberRecord numbered = restarted ? record.withNumbers(incarnation, 0) : record;
    // A listed leaving process that has never been heard may yet be one that was replaced.
    boolean staysLeaving = !restarted && record.state() == MemberState.LEAVING;
    MemberRecord alive = staysLeaving ? numbered : numbered.withState(MemberState.ALIVE);
    put(id, known.with(alive, now).heard(now));
    advance(now);
  }

  /**
   * Notes that a process did not answer a probe in time.
   *
   * @param id of the process
   * @param now the current time
   */
  public synchronized void missed(String id, Instant now) {
    Known known = members.get(id);
    if (known == null) {
      return;
    }
    Known missed = known.missed();
    // Whoever refutes is alive, though this process may not hear it: to suspect it again at once
    // would spread a false suspicion for as long as a link is cut in one direction.
    boolean refutedLately =
        Seconds.between(known.refutedAt(), now) < SUSPICIONS_APART * options.suspicionSeconds();
    boolean suspect =
        missed.misses() >= options.missesToSuspect()
            && known.record().state() == MemberState.ALIVE
            && !refutedLately;
    put(id, suspect ? missed.with(missed.record().withState(MemberState.SUSPECT), now) : missed);
    advance(now);
  }

  /**
   * Takes a peer's digest. Older knowledge changes nothing, so digests may come late, twice and in
   * any order. A suspicion of this very process is refuted.
   *
   * @param digest the peer's records
   * @param now the current time
   */
  public synchronized void merge(Collection<MemberRecord> digest, Instant now) {
    digest.forEach(record -> mergeOne(record, now));
    advance(now);
  }

  /**
   * Notes that a process is leaving, by its own word or an operator's. For this very process the
   * news goes out with a raised refutation number, so that it wins over older records.
   *
   * @param id of the process
   * @param now the current time
   */
  public synchronized void leaving(String id, Instant now) {
    if (id.equals(self.id())) {
      self =
          self.withState(MemberState.LEAVING)
              .withNumbers(self.incarnation(), self.refutation() + 1);
      leavingSince = leavingSince.or(() -> Optional.of(now));
      return;
    }
    Known known = members.get(id);
    if (known != null) {
      put(id, known.with(known.record().withState(MemberState.LEAVING), now));
    }
  }

  /**
   * Sets how busy this process is.
   *
   * @param load 0 when idle
   */
  public synchronized void setLoad(int load) {
    self = self.withLoad(load);
  }

  /** This process as it tells others. */
  public synchronized MemberRecord self() {
    return self;
  }

  /** When this process began to leave. */
  public synchronized Optional<Instant> leavingSince() {
    return leavingSince;
  }

  /**
   * What to tell peers: this process, what changed lately, and a part of the rest that moves on
   * with time, so that all is told in the end within a bound for each message.
   *
   * @param now the current time
   * @return at most as many records as the options say
   */
  public synchronized List<MemberRecord> digest(Instant now) {
    List<Known> all = List.copyOf(members.values());
    Stream<Known> news =
        all.stream()
            .filter(known -> Seconds.between(known.changedAt(), now) <= NEWS_SECONDS)
            .sorted(Comparator.comparing(Known::changedAt).reversed());
    int offset = all.isEmpty() ? 0 : (int) Math.floorMod(turn(now), (long) all.size());
    Stream<Known> rest = Stream.concat(all.stream().skip(offset), all.stream().limit(offset));
    Stream<MemberRecord> others =
        Stream.concat(news, rest)
            .map(Known::record)
            .filter(record -> record.incarnation() > 0)
            .distinct();
    return Stream.concat(Stream.of(self), others).limit(options.digestRecords()).toList();
  }

  /** Entries other than this process that are alive and not leaving. */
  public synchronized List<MemberRecord> liveEntries() {
    return withState(record -> record.role() == MemberRole.ENTRY).map(Known::record).toList();
  }

  /** What is known of a process, if anything. */
  public synchronized Optional<MemberRecord> member(String id) {
    return Optional.ofNullable(members.get(id)).map(Known::record);
  }

  /** When a process itself was last heard; empty if never. */
  public synchronized Optional<Instant> heardAt(String id) {
    return Optional.ofNullable(members.get(id))
        .map(Known::heardAt)
        .filter(heard -> !heard.equals(Instant.EPOCH));
  }

  /**
   * The processes that this one should keep links to: by rendezvous a part of the targets of its
   * own failure domain and a few outside, and some entries; all of them where there are few. Dead
   * ones are among them as long as the list names them, or else a cut that has healed would never
   * be noticed.
   *
   * @return the processes, in no given order
   */
  public synchronized List<MemberRecord> connectTo() {
    List<MemberRecord> known = links.orElseGet(this::chooseLinks);
    links = Optional.of(known);
    return known;
  }

  private List<MemberRecord> chooseLinks() {
    Stream<MemberRecord> inZone =
        closest(
            options.targetsInZone(),
            record -> record.role() == MemberRole.AGENT && record.zone().equals(self.zone()));
    Stream<MemberRecord> outside =
        closest(
            options.targetsOutside(),
            record -> record.role() == MemberRole.AGENT && !record.zone().equals(self.zone()));
    Stream<MemberRecord> entries =
        closest(options.peers(), record -> record.role() == MemberRole.ENTRY);
    return Stream.of(inZone, outside, entries).flatMap(part -> part).toList();
  }

  private Stream<MemberRecord> closest(int count, Predicate<MemberRecord> filter) {
    long own = hash(self.id());
    return members.values().stream()
        .filter(known -> known.listed() || known.record().state() != MemberState.DEAD)
        .map(Known::record)
        .filter(filter)
        .map(record -> new Scored(score(own, record.id()), record))
        .sorted(Comparator.comparingLong(Scored::score))
        .limit(count)
        .map(Scored::record);
  }

  private static long score(long own, String id) {
    return Hashing.komihash5_0().hashLongLongToLong(own, hash(id));
  }

  private static long hash(String id) {
    return Hashing.komihash5_0().hashCharsToLong(id);
  }

  private Stream<Known> withState(Predicate<MemberRecord> filter) {
    return members.values().stream()
        .filter(known -> known.record().state() == MemberState.ALIVE)
        .filter(known -> filter.test(known.record()));
  }

  private boolean isOther(MemberRecord record) {
    return !record.id().equals(self.id());
  }

  private void takeListed(MemberRecord record, Instant now) {
    Known known = members.get(record.id());
    if (known == null) {
      put(record.id(), Known.of(record.withNumbers(0, 0), true, now));
      return;
    }
    MemberRecord before = known.record();
    boolean moved = before.port() != record.port() || !before.host().equals(record.host());
    boolean silent = before.state() == MemberState.SUSPECT || before.state() == MemberState.DEAD;
    if (moved && silent) {
      put(record.id(), known.with(record.withNumbers(0, 0), now));
    } else if (record.state() == MemberState.LEAVING && before.state() == MemberState.ALIVE) {
      put(record.id(), known.with(before.withState(MemberState.LEAVING), now));
    }
  }

  private void mergeOne(MemberRecord record, Instant now) {
    if (!isOther(record)) {
      refute(record);
      return;
    }
    Known known = members.get(record.id());
    if (known == null) {
      put(record.id(), Known.of(record, false, now));
    } else if (record.supersedes(known.record()) && !isContradicted(record, known, now)) {
      put(record.id(), known.with(record, now));
    } else if (record.state() == known.record().state()) {
      put(record.id(), known.with(known.record().completedBy(record), now));
    }
  }

  /**
   * A suspicion by others of a process that this one hears itself is wrong and is not passed on.
   */
  private static boolean isContradicted(MemberRecord claim, Known known, Instant now) {
    boolean suspicion = claim.state() == MemberState.SUSPECT || claim.state() == MemberState.DEAD;
    return suspicion
        && known.misses() == 0
        && claim.incarnation() == known.record().incarnation()
        && Seconds.between(known.heardAt(), now) < HEARD_LATELY_SECONDS;
  }

  /**
   * A process that others take for dead gets no work although it is well, for instance after a
   * pause or a one-way cut. Its own word with a higher number is believed by everyone.
   */
  private void refute(MemberRecord claim) {
    boolean aboutThisRun = claim.incarnation() == self.incarnation();
    boolean wrong = claim.state() != self.state() && claim.refutation() >= self.refutation();
    if (aboutThisRun && wrong) {
      self = self.withNumbers(self.incarnation(), claim.refutation() + 1);
    }
  }

  /** A few times a second is enough, and this looks at every member. */
  private void advance(Instant now) {
    if (Seconds.between(advancedAt, now) < ADVANCE_SECONDS && !now.isBefore(advancedAt)) {
      return;
    }
    advancedAt = now;
    List.copyOf(members.values()).stream()
        .filter(known -> isOverdue(known, now))
        .forEach(known -> put(known.record().id(), dead(known, now)));
    if (members.values().removeIf(known -> isForgotten(known, now))) {
      links = Optional.empty();
    }
  }

  private void put(String id, Known known) {
    Known before = members.put(id, known);
    if (before == null || !before.hasSameLinkAs(known)) {
      links = Optional.empty();
    }
  }

  private boolean isOverdue(Known known, Instant now) {
    return known.record().state() == MemberState.SUSPECT
        && Seconds.between(known.suspectedAt(), now) >= options.suspicionSeconds();
  }

  private static Known dead(Known known, Instant now) {
    return known.with(known.record().withState(MemberState.DEAD), now);
  }

  private boolean isForgotten(Known known, Instant now) {
    return known.record().state() == MemberState.DEAD
        && !known.listed()
        && Seconds.between(known.changedAt(), now) >= options.forgetSeconds();
  }

  private static long turn(Instant now) {
    return now.toEpochMilli() / 100;
  }

  private record Scored(long score, MemberRecord record) {}
}
