package dev.ibishub.core.entries;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Which entries there are, which of them this one links to, and who comes first among them. Not
 * thread-safe.
 *
 * <p>All entries stand in one order, the longest running first, that each works out by itself. Each
 * links to the first few of that order, its <em>relays</em>, and hears from them of all others. So
 * an entry that is not among the first sends and receives the same number of messages whatever the
 * size of the fleet; links between all would cost 42 entries some 8,600 heartbeats a second, where
 * relays need some 1,600. No list of members has to be agreed on, since nothing that must be right
 * depends on it: views that differ for a moment cost a few links more.
 *
 * <p>An entry that starts again goes to the end of the order, so one that is lost again and again
 * does not take the lead each time that it is back.
 */
public final class EntryRoster {
  /**
   * Entries that each links to. One would do to hear of all others; the rest bear losses at the
   * same moment, before the next in order are linked.
   */
  public static final int RELAYS = 4;

  /** An entry silent for longer than this, four heartbeats, is taken for gone. Milliseconds. */
  public static final long ALIVE_MILLIS = 900;

  /**
   * How long an entry to which a link is wanted may stay unheard before the next in order is tried
   * as well, milliseconds; more than a connection attempt may take.
   */
  static final long PENDING_MILLIS = 1_200;

  /** An entry that nobody has heard for this long is forgotten. Milliseconds. */
  static final long FORGET_MILLIS = 30_000;

  /**
   * A gap of this length in all that relays say means that they were lost, not that the others
   * were; two heartbeats. Milliseconds.
   */
  static final long GAP_MILLIS = 450;

  /**
   * How long what lost relays said of others still counts after the next relays are heard,
   * milliseconds. These know only whom they hear themselves, and all others link to them about as
   * late as this entry did.
   */
  static final long GRACE_MILLIS = 1_500;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private static final Comparator<Known> ORDER =
      Comparator.comparingLong(Known::startedAt)
          .thenComparingInt(known -> known.spread)
          .thenComparing(known -> known.host);

  private final String ownHost;
  private final long ownStartedAt;
  private final Map<String, Known> byHost = new HashMap<>();
  private long wordAt = NEVER;
  private long graceUntil = NEVER;

  private static final class Known {
    private final String host;
    private final int spread;
    private Optional<EntryFacts> facts = Optional.empty();
    private long heardAt = NEVER;
    private long toldAt = NEVER;
    private long namedAt;
    private long wantedSince = NEVER;

    Known(String host) {
      this.host = host;
      this.spread = spread(host);
    }

    /** When it started; one that said nothing yet comes before all others. */
    private long startedAt() {
      return facts.isPresent() ? facts.get().startedAt() : Long.MIN_VALUE;
    }
  }

  /**
   * Creates a roster that knows no other entry.
   *
   * @param ownHost this entry's IP number
   * @param ownStartedAt when it started, milliseconds of the time of day
   */
  public EntryRoster(String ownHost, long ownStartedAt) {
    this.ownHost = ownHost;
    this.ownStartedAt = ownStartedAt;
  }

  /** Notes that there may be an entry at an IP number. */
  public void onNamed(String host, long now) {
    if (!host.equals(ownHost)) {
      known(host).namedAt = now;
    }
  }

  /** Takes in what an entry itself said. */
  public void onHeard(EntryFacts facts, long now) {
    if (facts.host().equals(ownHost)) {
      return;
    }
    if (wordAt != NEVER && now - wordAt > GAP_MILLIS) {
      graceUntil = now + GRACE_MILLIS;
    }
    wordAt = now;
    Known known = known(facts.host());
    known.facts = Optional.of(facts);
    known.heardAt = now;
    known.namedAt = now;
  }

  /**
   * Takes in what another entry said of a third.
   *
   * @param heardAt when the other one heard the third, on this process's clock
   */
  public void onTold(EntryFacts facts, long heardAt, long now) {
    if (facts.host().equals(ownHost)) {
      return;
    }
    Known known = known(facts.host());
    known.namedAt = now;
    if (heardAt <= Math.max(known.toldAt, known.heardAt)) {
      return;
    }
    known.facts = Optional.of(facts);
    known.toldAt = heardAt;
  }

  /**
   * Returns the hosts that this entry should have links to: the first in order, until as many as it
   * needs are heard or may yet be. To be called often.
   */
  public List<String> wanted(long now) {
    byHost.values().removeIf(known -> now - known.namedAt > FORGET_MILLIS);
    List<Known> wanted = new ArrayList<>();
    int hoped = 0;
    for (Known known : byHost.values().stream().sorted(ORDER).toList()) {
      if (hoped >= RELAYS) {
        known.wantedSince = NEVER;
        continue;
      }
      known.wantedSince = known.wantedSince == NEVER ? now : known.wantedSince;
      wanted.add(known);
      hoped += isHeard(known, now) || isPending(known, now) ? 1 : 0;
    }
    return wanted.stream().map(known -> known.host).toList();
  }

  /** Whether an entry that this one wants to link to may yet be heard for the first time. */
  public boolean isAnyPending(long now) {
    return byHost.values().stream()
        .anyMatch(known -> isPending(known, now) && !isHeard(known, now));
  }

  /** Returns the others that are alive, in order. */
  public List<EntryFacts> alive(long now) {
    return living(now).sorted(ORDER).map(known -> known.facts.orElseThrow()).toList();
  }

  /** Returns how many others are alive. */
  public int countAlive(long now) {
    return (int) living(now).count();
  }

  /** Returns how many others that stay come before this entry in order. */
  public int turn(long now) {
    Known own = new Known(ownHost);
    own.facts = Optional.of(new EntryFacts(ownHost, "", ownStartedAt, true, false));
    return (int)
        living(now)
            .filter(known -> !known.facts.orElseThrow().isLeaving())
            .filter(known -> ORDER.compare(known, own) < 0)
            .count();
  }

  /** Returns what this entry heard itself lately, to tell others; with the time of each word. */
  public Map<EntryFacts, Long> heard(long now) {
    Map<EntryFacts, Long> heard = new HashMap<>();
    byHost.values().stream()
        .filter(known -> isHeard(known, now))
        .forEach(known -> heard.put(known.facts.orElseThrow(), known.heardAt));
    return heard;
  }

  private Stream<Known> living(long now) {
    return byHost.values().stream().filter(known -> isLiving(known, now));
  }

  private boolean isLiving(Known known, long now) {
    return isHeard(known, now) || isTold(known, now);
  }

  private static boolean isHeard(Known known, long now) {
    return now - known.heardAt <= ALIVE_MILLIS;
  }

  /**
   * Whether relays say that an entry is alive. Guards against taking all others for gone when the
   * relays are: each entry would name itself alone to callers and take the lead. What was told is
   * therefore judged by the time of the last word of any relay, not by the time that passes; only
   * one that did not answer to this entry itself meanwhile is gone.
   */
  private boolean isTold(Known known, long now) {
    long allowed = now <= graceUntil ? ALIVE_MILLIS + GRACE_MILLIS : ALIVE_MILLIS;
    boolean isUnanswered = known.wantedSince != NEVER && !isPending(known, now);
    boolean isLost = isUnanswered && now - known.toldAt > ALIVE_MILLIS;
    return known.toldAt != NEVER && !isLost && wordAt - known.toldAt <= allowed;
  }

  private static boolean isPending(Known known, long now) {
    return known.wantedSince != NEVER && now - known.wantedSince <= PENDING_MILLIS;
  }

  private Known known(String host) {
    return byHost.computeIfAbsent(host, Known::new);
  }

  /** Spreads neighbouring IP numbers, so that those of one failure domain are not all first. */
  private static int spread(String host) {
    return Integer.reverse(host.hashCode() * 0x9E3779B9);
  }
}
