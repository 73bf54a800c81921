package dev.ibishub.core.serving;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

/**
 * The rate limits that targets set for all entries together, and this entry's share of each.
 * Thread-safe by one lock. A limit has two sources, what a target states in its answers and that it
 * is cold; while it has both, a request needs the permission of both.
 *
 * <p>A target states its limit in the headers of its answers. An entry passes what it hears on to
 * the other entries, and each computes its own share from the entries that it knows, so that shares
 * need no agreement. The latest statement of a target counts, whichever entry received it.
 *
 * <p>A cold target crashes above its limit, so that limit has to hold in every second, whatever the
 * entries know of each other. It is divided among all entries that may be running, not only those
 * that are heard, see {@link #tickCold}.
 *
 * <pre>{@code
 * SharedLimits limits = new SharedLimits(ownHost, LimitDivision.amongFewHolders());
 * limits.onPeerStatement(new LimitStatement(incarnation, OptionalDouble.of(2), now), now);
 * if (limits.allows(incarnation, now)) {
 *   limits.onSent(incarnation, now);
 * }
 * }</pre>
 */
public final class SharedLimits {
  /**
   * Lowest rate at which requests are sent to a target, requests per second. Even under a limit of
   * 0 some have to be sent, as only an answer shows that the limit has ended.
   */
  static final double MINIMUM_REQUESTS_PER_SECOND = 0.2;

  /** Age at which a statement expires if no entry has heard it again, milliseconds. */
  static final long EXPIRY_MILLIS = 10_000;

  /** Time between two broadcasts of a limit that the target keeps stating, milliseconds. */
  static final long REBROADCAST_MILLIS = 2_000;

  /**
   * Time for which nothing is sent to a target that was in use and turned cold, milliseconds. Some
   * entries learn of it up to 2 s later than others and send the usual requests until then.
   */
  public static final long NEWS_MILLIS = 2_000;

  private static final LimitDivision COLD_DIVISION = LimitDivision.inWholeRequests();

  private final String ownHost;
  private final LimitDivision division;
  private final Map<String, Known> byIncarnation = new HashMap<>();
  private final Map<String, ColdShare> coldByIncarnation = new HashMap<>();
  private Set<String> hosts;

  /** The entries that share limits of cold targets; empty while this one has no share. */
  private Set<String> coldHosts = Set.of();

  /** What is known of one target incarnation. */
  private static final class Known {
    private final TokenBucket bucket = new TokenBucket();
    private LimitStatement latest;

    /** Time of the latest statement that the other entries know. */
    private long broadcastAt;

    Known(LimitStatement latest) {
      this.latest = latest;
      this.broadcastAt = latest.statedAt();
    }
  }

  /**
   * Creates an instance that knows no limit.
   *
   * @param ownHost this entry's host
   * @param division how entries divide a limit
   */
  public SharedLimits(String ownHost, LimitDivision division) {
    this.ownHost = ownHost;
    this.division = division;
    this.hosts = Set.of(ownHost);
  }

  /**
   * Records a target's statement in an answer to this entry.
   *
   * @param targetIncarnation the target incarnation that answered
   * @param limit requests per second; empty if the answer states no limit
   * @param sentAt when the request was sent, milliseconds. An answer without a limit ends the
   *     current limit only if the request was sent after that limit was last stated.
   * @param now the current time, milliseconds
   * @return the statement to broadcast to the other entries at once, if it is a change
   */
  public synchronized Optional<LimitStatement> onAnswer(
      String targetIncarnation, OptionalDouble limit, long sentAt, long now) {
    if (limit.isEmpty() && !byIncarnation.containsKey(targetIncarnation)) {
      return Optional.empty();
    }
    boolean isChange = !limitOf(targetIncarnation).equals(limit);
    LimitStatement statement =
        new LimitStatement(targetIncarnation, limit, limit.isPresent() ? now : sentAt);
    if (!isNewer(statement)) {
      return Optional.empty();
    }
    Known known = apply(statement, now);
    if (!isChange) {
      return Optional.empty();
    }
    known.broadcastAt = statement.statedAt();
    return Optional.of(statement);
  }

  /**
   * Records a target's statement that another entry passed on.
   *
   * @return whether it is newer than the one known so far
   */
  public synchronized boolean onPeerStatement(LimitStatement statement, long now) {
    if (!isNewer(statement) || isCopy(statement)) {
      return false;
    }
    apply(statement, now).broadcastAt = statement.statedAt();
    return true;
  }

  /** Updates which entries send requests, and evicts expired limits. To be called regularly. */
  public synchronized void tick(Set<String> entryHosts, long now) {
    byIncarnation.values().removeIf(known -> now - known.latest.statedAt() > EXPIRY_MILLIS);
    if (!entryHosts.equals(hosts)) {
      hosts = Set.copyOf(entryHosts);
      byIncarnation.values().forEach(known -> updateRate(known, now));
    }
  }

  /**
   * Records that a target is cold. A later end extends the period; an earlier one does not end it.
   *
   * @param limit the limit while it is cold; empty while there is none. It may change.
   * @param wasInUse whether this entry knew the target before as one that is not cold
   * @param until when it stops being cold, milliseconds
   * @return whether it was not known to be cold
   */
  public synchronized boolean onCold(
      String targetIncarnation,
      Supplier<Optional<ColdLimit>> limit,
      boolean wasInUse,
      long until,
      long now) {
    ColdShare known = coldByIncarnation.get(targetIncarnation);
    if (known != null && !known.isOver(now)) {
      known.extend(until);
      return false;
    }
    long closedUntil = wasInUse ? now + NEWS_MILLIS : now;
    ColdShare share = new ColdShare(limit, closedUntil, until);
    share.allows(coldHosts, coldDivision(targetIncarnation), now);
    coldByIncarnation.put(targetIncarnation, share);
    return true;
  }

  /** Ends the limit of a cold target, whose process is over. */
  public synchronized void onColdEnded(String targetIncarnation) {
    coldByIncarnation.remove(targetIncarnation);
  }

  /**
   * Updates which entries share the limits of cold targets, and evicts targets that are no longer
   * cold. To be called regularly.
   *
   * @param entryHosts the entries that may be running; empty while this entry has no share
   * @return the targets that are no longer cold
   */
  public synchronized Set<String> tickCold(Set<String> entryHosts, long now) {
    Set<String> warm =
        coldByIncarnation.entrySet().stream()
            .filter(share -> share.getValue().isOver(now))
            .map(Map.Entry::getKey)
            .collect(Collectors.toUnmodifiableSet());
    coldByIncarnation.keySet().removeAll(warm);
    if (!entryHosts.equals(coldHosts)) {
      coldHosts = Set.copyOf(entryHosts);
    }
    return warm;
  }

  private ToDoubleFunction<ColdLimit> coldDivision(String targetIncarnation) {
    return limit ->
        coldHosts.isEmpty()
            ? 0
            : COLD_DIVISION.share(
                ownHost, coldHosts, targetIncarnation, limit.dividedRequestsPerSecond());
  }

  /** Whether this entry may send a request to a target now. */
  public synchronized boolean allows(String targetIncarnation, long now) {
    return allowsCold(targetIncarnation, now) && allowsStated(targetIncarnation, now);
  }

  /** Whether the limit of a cold target, if it has one, lets this entry send a request now. */
  public synchronized boolean allowsCold(String targetIncarnation, long now) {
    ColdShare cold = coldByIncarnation.get(targetIncarnation);
    return cold == null || cold.allows(coldHosts, coldDivision(targetIncarnation), now);
  }

  private boolean allowsStated(String targetIncarnation, long now) {
    Known known = byIncarnation.get(targetIncarnation);
    return known == null
        || known.latest.requestsPerSecond().isEmpty()
        || known.bucket.hasToken(now);
  }

  /** Whether a target states a limit at present. */
  public synchronized boolean isLimited(String targetIncarnation) {
    return limitOf(targetIncarnation).isPresent();
  }

  /** Counts a request that this entry sends to a target. */
  public synchronized void onSent(String targetIncarnation, long now) {
    Known known = byIncarnation.get(targetIncarnation);
    if (known != null) {
      known.bucket.take(now);
    }
    ColdShare cold = coldByIncarnation.get(targetIncarnation);
    if (cold != null) {
      cold.onSent(now);
    }
  }

  /** Returns the statements that are due to be broadcast again, and marks them as broadcast. */
  public synchronized List<LimitStatement> takeDueBroadcasts() {
    List<Known> due =
        byIncarnation.values().stream()
            .filter(known -> known.latest.statedAt() - known.broadcastAt >= REBROADCAST_MILLIS)
            .toList();
    due.forEach(known -> known.broadcastAt = known.latest.statedAt());
    return due.stream().map(known -> known.latest).toList();
  }

  /** Returns the latest statement of each target, to send to an entry that has just started. */
  public synchronized List<LimitStatement> all() {
    return byIncarnation.values().stream().map(known -> known.latest).toList();
  }

  private boolean isNewer(LimitStatement statement) {
    Known known = byIncarnation.get(statement.targetIncarnation());
    return known == null || statement.statedAt() > known.latest.statedAt();
  }

  /**
   * Whether another entry passed on what is known. Each entry dates a statement later, by the
   * transit time of its message; one that seemed newer for that would be passed on for ever.
   */
  private boolean isCopy(LimitStatement statement) {
    Known known = byIncarnation.get(statement.targetIncarnation());
    return known != null
        && known.latest.requestsPerSecond().equals(statement.requestsPerSecond())
        && statement.statedAt() - known.latest.statedAt() < REBROADCAST_MILLIS / 2;
  }

  private Known apply(LimitStatement statement, long now) {
    Known known =
        byIncarnation.computeIfAbsent(statement.targetIncarnation(), any -> new Known(statement));
    known.latest = statement;
    updateRate(known, now);
    return known;
  }

  private OptionalDouble limitOf(String targetIncarnation) {
    Known known = byIncarnation.get(targetIncarnation);
    return known == null ? OptionalDouble.empty() : known.latest.requestsPerSecond();
  }

  private void updateRate(Known known, long now) {
    OptionalDouble limit = known.latest.requestsPerSecond();
    double share =
        limit.isEmpty()
            ? 0
            : division.share(
                ownHost,
                hosts,
                known.latest.targetIncarnation(),
                Math.max(MINIMUM_REQUESTS_PER_SECOND, limit.getAsDouble()));
    known.bucket.setRate(share, now);
  }
}
