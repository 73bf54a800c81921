package dev.ibishub.core.serving;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * The rate limits that targets set for all entries together, and this entry's share of each.
 * Thread-safe by one lock.
 *
 * <p>A target states its limit in the headers of its answers. An entry passes what it hears on to
 * the other entries, and each computes its own share from the entries that it knows, so that shares
 * need no agreement. The latest statement of a target counts, whichever entry received it.
 *
 * <pre>{@code
 * SharedLimits limits = new SharedLimits(ownHost, LimitDivision.amongFewHolders());
 * limits.onWord(new LimitWord(life, OptionalDouble.of(2), now), now);
 * if (limits.allows(life, now)) {
 *   limits.onSent(life, now);
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

  private final String ownHost;
  private final LimitDivision division;
  private final Map<String, Known> byLife = new HashMap<>();
  private Set<String> hosts;

  /** What is known of one target incarnation. */
  private static final class Known {
    private final TokenBucket bucket = new TokenBucket();
    private LimitWord latest;

    /** Time of the latest statement that the other entries know. */
    private long broadcastAt;

    Known(LimitWord latest) {
      this.latest = latest;
      this.broadcastAt = latest.saidAt();
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
   * @param targetLife the target incarnation that answered
   * @param limit requests per second; empty if the answer states no limit
   * @param sentAt when the request was sent, milliseconds. An answer without a limit ends the
   *     current limit only if the request was sent after that limit was last stated.
   * @param now the current time, milliseconds
   * @return the statement to broadcast to the other entries at once, if it is a change
   */
  public synchronized Optional<LimitWord> onAnswer(
      String targetLife, OptionalDouble limit, long sentAt, long now) {
    if (limit.isEmpty() && !byLife.containsKey(targetLife)) {
      return Optional.empty();
    }
    boolean isChange = !limitOf(targetLife).equals(limit);
    LimitWord statement = new LimitWord(targetLife, limit, limit.isPresent() ? now : sentAt);
    if (!isNewer(statement)) {
      return Optional.empty();
    }
    Known known = apply(statement, now);
    if (!isChange) {
      return Optional.empty();
    }
    known.broadcastAt = statement.saidAt();
    return Optional.of(statement);
  }

  /**
   * Records a target's statement that another entry passed on.
   *
   * @return whether it is newer than the one known so far
   */
  public synchronized boolean onWord(LimitWord statement, long now) {
    if (!isNewer(statement)) {
      return false;
    }
    apply(statement, now).broadcastAt = statement.saidAt();
    return true;
  }

  /** Updates which entries send requests, and evicts expired limits. To be called regularly. */
  public synchronized void tick(Set<String> entryHosts, long now) {
    byLife.values().removeIf(known -> now - known.latest.saidAt() > EXPIRY_MILLIS);
    if (!entryHosts.equals(hosts)) {
      hosts = Set.copyOf(entryHosts);
      byLife.values().forEach(known -> updateRate(known, now));
    }
  }

  /** Whether this entry may send a request to a target now. */
  public synchronized boolean allows(String targetLife, long now) {
    Known known = byLife.get(targetLife);
    return known == null
        || known.latest.requestsPerSecond().isEmpty()
        || known.bucket.hasToken(now);
  }

  /** Whether a target has a limit at present. */
  public synchronized boolean isLimited(String targetLife) {
    return limitOf(targetLife).isPresent();
  }

  /** Counts a request that this entry sends to a target. */
  public synchronized void onSent(String targetLife, long now) {
    Known known = byLife.get(targetLife);
    if (known != null) {
      known.bucket.take(now);
    }
  }

  /** Returns the statements that are due to be broadcast again, and marks them as broadcast. */
  public synchronized List<LimitWord> takeDue() {
    List<Known> due =
        byLife.values().stream()
            .filter(known -> known.latest.saidAt() - known.broadcastAt >= REBROADCAST_MILLIS)
            .toList();
    due.forEach(known -> known.broadcastAt = known.latest.saidAt());
    return due.stream().map(known -> known.latest).toList();
  }

  /** Returns the latest statement of each target, to send to an entry that has just started. */
  public synchronized List<LimitWord> all() {
    return byLife.values().stream().map(known -> known.latest).toList();
  }

  private boolean isNewer(LimitWord statement) {
    Known known = byLife.get(statement.targetLife());
    return known == null || statement.saidAt() > known.latest.saidAt();
  }

  private Known apply(LimitWord statement, long now) {
    Known known = byLife.computeIfAbsent(statement.targetLife(), any -> new Known(statement));
    known.latest = statement;
    updateRate(known, now);
    return known;
  }

  private OptionalDouble limitOf(String targetLife) {
    Known known = byLife.get(targetLife);
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
                known.latest.targetLife(),
                Math.max(MINIMUM_REQUESTS_PER_SECOND, limit.getAsDouble()));
    known.bucket.setRate(share, now);
  }
}
