package dev.ibishub.core.entries;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * One entry's view of which other entries there are, which of them it links to, and its own
 * position in their order. Used on the platform of the users; ibishub's own interface has {@link
 * dev.ibishub.core.Membership}. Not thread-safe.
 *
 * <p>Each entry orders all entries by itself, the longest running first. It links to the first few,
 * its <em>relays</em>, and learns of all others from them. An entry that is not a relay therefore
 * sends and receives the same number of messages whatever the size of the fleet: links between all
 * of 42 entries would cost some 8,600 heartbeats a second, relays need some 1,600. The entries
 * don't have to agree on a list of members, as nothing that must be right depends on it: views that
 * differ for a moment only cost a few more links.
 *
 * <p>An entry that restarts goes to the end of the order, so one that fails again and again does
 * not take the lead each time it returns.
 */
public final class EntryRoster {
  /**
   * Number of relays that each entry links to. One is enough to learn of all others; the rest
   * bridge the simultaneous loss of relays until the next entries in order are linked.
   */
  public static final int RELAY_COUNT = 4;

  /** Silence after which an entry is considered lost, milliseconds; four heartbeats. */
  public static final long ALIVE_MILLIS = 900;

  /**
   * How long a link may take to bring a first heartbeat before the next entry in order is linked as
   * well, milliseconds; longer than a connection attempt may take.
   */
  static final long LINK_TIMEOUT_MILLIS = 1_200;

  /** Time without any sign of an entry after which it is evicted, milliseconds. */
  static final long EVICTION_MILLIS = 30_000;

  /**
   * Silence of all linked entries after which the relays count as lost, rather than the entries
   * that they reported, milliseconds; two heartbeats.
   */
  static final long RELAY_GAP_MILLIS = 450;

  /**
   * How long reports of lost relays still count after the next relays are heard, milliseconds. The
   * new relays report only entries that they hear directly, and the other entries link to them
   * about as late as this one did.
   */
  static final long RELAY_CHANGE_GRACE_MILLIS = 1_500;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private static final Comparator<Known> ORDER =
      Comparator.comparingLong(Known::startedAt)
          .thenComparingInt(known -> known.hostHash)
          .thenComparing(known -> known.host);

  private final String ownHost;
  private final long ownStartedAt;
  private final Map<String, Known> byHost = new HashMap<>();

  /** When this entry last heard any other entry directly. */
  private long anyHeardAt = NEVER;

  private long graceUntil = NEVER;

  /** What is known of another entry. */
  private static final class Known {
    private final String host;
    private final int hostHash;
    private Optional<EntryFacts> facts = Optional.empty();

    /** When this entry last heard it directly. */
    private long heardAt = NEVER;

    /** When, by the latest report of any relay, that relay last heard it. */
    private long relayedAt = NEVER;

    /** When there was last any sign of it: heard, reported by a relay or found otherwise. */
    private long namedAt;

    /** Since when this entry has continuously wanted a link to it. */
    private long wantedSince = NEVER;

    Known(String host) {
      this.host = host;
      this.hostHash = hostHash(host);
    }

    /** Returns when it started; one that has not announced itself yet sorts first. */
    private long startedAt() {
      return facts.isPresent() ? facts.get().startedAt() : Long.MIN_VALUE;
    }
  }

  /**
   * Creates a roster that knows no other entry.
   *
   * @param ownHost this entry's IP address
   * @param ownStartedAt when this entry started, milliseconds of the wall clock
   */
  public EntryRoster(String ownHost, long ownStartedAt) {
    this.ownHost = ownHost;
    this.ownStartedAt = ownStartedAt;
  }

  /** Records that there may be an entry at an IP address. */
  public void onNamed(String host, long now) {
    if (!host.equals(ownHost)) {
      known(host).namedAt = now;
    }
  }

  /** Records what an entry announced about itself directly to this one. */
  public void onHeard(EntryFacts facts, long now) {
    if (facts.host().equals(ownHost)) {
      return;
    }
    if (anyHeardAt != NEVER && now - anyHeardAt > RELAY_GAP_MILLIS) {
      graceUntil = now + RELAY_CHANGE_GRACE_MILLIS;
    }
    anyHeardAt = now;
    Known known = known(facts.host());
    known.facts = Optional.of(facts);
    known.heardAt = now;
    known.namedAt = now;
  }

  /**
   * Records what a relay reported about another entry.
   *
   * @param facts what that entry announced to the relay
   * @param heardAt when the relay heard it, on this process's clock, milliseconds
   * @param now the current time, milliseconds
   */
  public void onRelayed(EntryFacts facts, long heardAt, long now) {
    if (facts.host().equals(ownHost)) {
      return;
    }
    Known known = known(facts.host());
    known.namedAt = now;
    if (heardAt <= Math.max(known.relayedAt, known.heardAt)) {
      return;
    }
    known.facts = Optional.of(facts);
    known.relayedAt = heardAt;
  }

  /**
   * Returns the hosts that this entry should link to: the first in order, until {@link
   * #RELAY_COUNT} of them are heard or may still be. Also evicts entries, so it is to be called
   * regularly.
   */
  public List<String> hostsToLink(long now) {
    byHost.values().removeIf(known -> now - known.namedAt > EVICTION_MILLIS);
    List<Known> wanted = new ArrayList<>();
    int expectedRelays = 0;
    for (Known known : byHost.values().stream().sorted(ORDER).toList()) {
      if (expectedRelays >= RELAY_COUNT) {
        known.wantedSince = NEVER;
        continue;
      }
      known.wantedSince = known.wantedSince == NEVER ? now : known.wantedSince;
      wanted.add(known);
      expectedRelays += isHeard(known, now) || isPending(known, now) ? 1 : 0;
    }
    return wanted.stream().map(known -> known.host).toList();
  }

  /**
   * Returns the first {@link #RELAY_COUNT} hosts in order, this one included, to which all entries
   * link. A relay also links to the next entry in order, to which the others don't.
   */
  public Set<String> hostsLinkedByAll() {
    return Stream.concat(byHost.values().stream(), Stream.of(own()))
        .sorted(ORDER)
        .limit(RELAY_COUNT)
        .map(known -> known.host)
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Whether a wanted link is still within its timeout and has not brought a heartbeat. */
  public boolean isAnyPending(long now) {
    return byHost.values().stream()
        .anyMatch(known -> isPending(known, now) && !isHeard(known, now));
  }

  /** Returns the other entries that are alive, in order. */
  public List<EntryFacts> alive(long now) {
    return living(now).sorted(ORDER).map(known -> known.facts.orElseThrow()).toList();
  }

  /** Returns how many other entries are alive. */
  public int countAlive(long now) {
    return (int) living(now).count();
  }

  /**
   * Returns how many other entries are alive that started after a time.
   *
   * @param startedAfter milliseconds of the wall clock
   */
  public int countAliveStartedAfter(long startedAfter, long now) {
    return (int) living(now).filter(known -> known.startedAt() > startedAfter).count();
  }

  /**
   * Returns this entry's position in order, from 0, among the live entries that are not leaving.
   */
  public int position(long now) {
    Known own = own();
    return (int)
        living(now)
            .filter(known -> !known.facts.orElseThrow().isLeaving())
            .filter(known -> ORDER.compare(known, own) < 0)
            .count();
  }

  /**
   * Returns the host of the next entry after this one, or else of the first one in order, among the
   * live entries that are not leaving.
   *
   * @param excluded hosts that are passed over
   */
  public Optional<String> nextInOrder(Set<String> excluded, long now) {
    int own = position(now);
    List<String> hosts =
        alive(now).stream().filter(entry -> !entry.isLeaving()).map(EntryFacts::host).toList();
    return Stream.concat(hosts.stream().skip(own), hosts.stream().limit(own))
        .filter(host -> !excluded.contains(host))
        .findFirst();
  }

  /**
   * Returns the entries that this one has heard directly within {@link #ALIVE_MILLIS}, each with
   * the time when it was last heard, to report them to others.
   */
  public Map<EntryFacts, Long> heardDirectly(long now) {
    Map<EntryFacts, Long> heard = new HashMap<>();
    byHost.values().stream()
        .filter(known -> isHeard(known, now))
        .forEach(known -> heard.put(known.facts.orElseThrow(), known.heardAt));
    return heard;
  }

  private Known own() {
    Known own = new Known(ownHost);
    own.facts = Optional.of(new EntryFacts(ownHost, "", ownStartedAt, true, false));
    return own;
  }

  private Stream<Known> living(long now) {
    return byHost.values().stream().filter(known -> isAlive(known, now));
  }

  private boolean isAlive(Known known, long now) {
    return isHeard(known, now) || isRelayed(known, now);
  }

  private static boolean isHeard(Known known, long now) {
    return now - known.heardAt <= ALIVE_MILLIS;
  }

  /**
   * Whether an entry is alive according to the relays. A report's age is measured at the time of
   * the last heartbeat of any linked entry, not at the current time. Otherwise the loss of all
   * relays would look like the loss of all entries, and each entry would announce only itself to
   * callers and take the lead. Only an entry whose link has brought no heartbeat within the timeout
   * is judged by the current time.
   */
  private boolean isRelayed(Known known, long now) {
    long maximumAge = now <= graceUntil ? ALIVE_MILLIS + RELAY_CHANGE_GRACE_MILLIS : ALIVE_MILLIS;
    boolean isUnanswered = known.wantedSince != NEVER && !isPending(known, now);
    boolean isLost = isUnanswered && now - known.relayedAt > ALIVE_MILLIS;
    return known.relayedAt != NEVER && !isLost && anyHeardAt - known.relayedAt <= maximumAge;
  }

  private static boolean isPending(Known known, long now) {
    return known.wantedSince != NEVER && now - known.wantedSince <= LINK_TIMEOUT_MILLIS;
  }

  private Known known(String host) {
    return byHost.computeIfAbsent(host, Known::new);
  }

  /**
   * Scatters neighbouring IP addresses, so that the entries of one failure domain don't all come
   * first.
   */
  private static int hostHash(String host) {
    return Integer.reverse(host.hashCode() * 0x9E3779B9);
  }
}
