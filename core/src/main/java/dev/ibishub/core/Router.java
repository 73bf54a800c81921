package dev.ibishub.core;

import dev.ibishub.core.internal.routing.CacheHints;
import dev.ibishub.core.internal.routing.Seconds;
import dev.ibishub.core.internal.routing.ServedTargets;
import dev.ibishub.core.internal.routing.TargetState;
import java.time.Instant;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

/**
 * Chooses the target of a request at an entry. It estimates the cost of each candidate, mainly the
 * wait before the work starts, and takes the cheapest. Candidates are two random targets, the
 * owners of the prompt's prefix, and the targets that have reported the prefix as cached. Load
 * reports are delayed, so the work that this entry sent since a report was measured is added to it;
 * otherwise every entry would send its work to the target that was idle in the last report.
 *
 * <p>Used behind ibishub's own interface; on the platform of its users {@code TargetChoice} does
 * this.
 *
 * <p>Thread-safe: each target's state has its own lock, and the lists of targets are immutable.
 *
 * <pre>{@code
 * router.report(status, now);
 * router.choose(query, now, random).ifPresent(target -> {
 *   router.sent(target, query.estimatedTokens(), now);
 *   dispatch(target);
 * });
 * router.finished(target, usedTokens, failed, startedAt, now);
 * }</pre>
 */
public final class Router {
  private static final double HOLDER_MISS_PROBABILITY = 0.25;
  private static final double SECOND_OWNER_MISS_PROBABILITY = 0.25;

  private final RouterOptions options;
  private final Map<String, TargetState> targets = new ConcurrentHashMap<>();
  private final Map<String, ServedTargets> targetsByServed = new ConcurrentHashMap<>();
  private final CacheHints cacheHints;
  private final Object ejectionLock = new Object();
  private volatile int entries = 1;
  private volatile Set<String> evacuatedZones = Set.of();

  private Router(RouterOptions options) {
    this.options = options;
    this.cacheHints = CacheHints.withCapacity(64 * options.cachedPrefixesPerTarget());
  }

  /** Creates a router without targets. */
  public static Router create(RouterOptions options) {
    return new Router(options);
  }

  /**
   * Sets how many entries share the targets, including this one.
   *
   * @param count at least 1
   */
  public void setEntries(int count) {
    entries = Math.max(1, count);
  }

  /**
   * Sets the zones that are out of service. No target there is chosen; what runs there goes on.
   *
   * @param zones names of the zones, which may have no targets
   */
  public void setEvacuatedZones(Set<String> zones) {
    evacuatedZones = Set.copyOf(zones);
  }

  /**
   * Applies a target's report, unless it was measured before the last one.
   *
   * @param status report of the target's agent
   * @param now the current time
   */
  public void report(TargetStatus status, Instant now) {
    TargetState state =
        targets.computeIfAbsent(status.target(), target -> new TargetState(target, options, now));
    // Lock per target: a late report must not undo the lists of a newer one.
    synchronized (state) {
      Set<String> before = state.status().served();
      state.report(status, now);
      Set<String> after = state.status().served();
      if (!before.equals(after)) {
        without(after, before).forEach(served -> servedTargets(served).add(state));
        without(before, after).forEach(served -> servedTargets(served).remove(state));
      }
    }
  }

  /**
   * Removes a target.
   *
   * @param target id of the target
   */
  public void remove(String target) {
    TargetState state = targets.remove(target);
    if (state != null) {
      state.status().served().forEach(served -> servedTargets(served).remove(state));
    }
  }

  /**
   * Chooses a target. Choosing changes no state: report the dispatch by {@link #sent}.
   *
   * @param query requirements of the request
   * @param now the current time
   * @param random source of the random candidates
   * @return the target, or empty if no target that serves the request accepts work
   */
  public Optional<String> choose(RouteQuery query, Instant now, RandomGenerator random) {
    ServedTargets served = targetsByServed.get(query.served());
    if (served == null) {
      return Optional.empty();
    }
    List<Candidate> likelyCached = likelyCached(query, served);
    Stream<Candidate> atRandom = served.twoAtRandom(random).map(Candidate::withoutPrefix);
    return cheapest(Stream.concat(likelyCached.stream(), atRandom), query, now)
        .or(() -> cheapest(served.all().stream().map(Candidate::withoutPrefix), query, now))
        .map(TargetState::target);
  }

  /**
   * Records a dispatch.
   *
   * @param target target of the dispatch
   * @param tokens expected cost in tokens
   * @param now the current time
   */
  public void sent(String target, double tokens, Instant now) {
    TargetState state = targets.get(target);
    if (state != null) {
      state.sent(tokens, now);
    }
  }

  /**
   * Records the end of an attempt.
   *
   * @param target target of the attempt
   * @param tokens tokens that it produced
   * @param failed whether the target was at fault
   * @param started when the target started it
   * @param now the current time
   */
  public void finished(String target, double tokens, boolean failed, Instant started, Instant now) {
    TargetState state = targets.get(target);
    if (state == null || !state.finished(failed)) {
      return;
    }
    // One lock for all ejections: two targets that fail at once must not both pass the cap.
    synchronized (ejectionLock) {
      if (!state.isEjected(now) && mayBeEjected(state, now)) {
        state.eject(now);
      }
    }
  }

  /**
   * Applies a target's cache events, which may be delayed and have gaps.
   *
   * @param target target that reported them
   * @param added hashes of the prefixes that it has cached
   * @param evicted hashes of the prefixes that it has evicted
   */
  public void cacheReport(String target, Collection<Long> added, Collection<Long> evicted) {
    evicted.forEach(prefix -> cacheHints.evicted(prefix, target));
    added.forEach(prefix -> cacheHints.added(prefix, target));
  }

  /**
   * Estimates when work that arrives now would start: the median over the targets that accept it.
   *
   * @param served name of what the target must serve
   * @param now the current time
   * @return the estimate, or empty if no target that serves it accepts work
   */
  public Optional<Instant> estimatedStart(String served, Instant now) {
    ServedTargets known = targetsByServed.get(served);
    if (known == null) {
      return Optional.empty();
    }
    double[] waits =
        known
            .sample()
            .filter(target -> target.isEligible(now) && !isEvacuated(target))
            .mapToDouble(target -> target.waitSeconds(entries, now))
            .sorted()
            .toArray();
    return waits.length == 0
        ? Optional.empty()
        : Optional.of(Seconds.after(now, waits[waits.length / 2]));
  }

  /**
   * Returns the targets that are likely to have the prefix cached. The first owner is assumed to
   * have it, because requests with the prefix are sent there. Targets that reported it, and the
   * second owner, get a miss probability: if they cost the same, each prefix would soon be cached
   * everywhere, leaving room for few prefixes.
   */
  private List<Candidate> likelyCached(RouteQuery query, ServedTargets served) {
    if (query.prefixHash() == 0) {
      return List.of();
    }
    List<TargetState> owners = served.owners(query.prefixHash());
    Stream<Candidate> first = owners.stream().limit(1).map(Candidate::withPrefix);
    Stream<Candidate> holders =
        cacheHints.holders(query.prefixHash()).stream()
            .map(targets::get)
            .filter(state -> state != null && state.status().served().contains(query.served()))
            .map(state -> new Candidate(state, HOLDER_MISS_PROBABILITY));
    Stream<Candidate> second =
        owners.stream().skip(1).map(state -> new Candidate(state, SECOND_OWNER_MISS_PROBABILITY));
    return Stream.of(first, holders, second).flatMap(part -> part).toList();
  }

  private Optional<TargetState> cheapest(
      Stream<Candidate> candidates, RouteQuery query, Instant now) {
    return candidates
        .filter(candidate -> mayTake(candidate.state(), query, now))
        .map(candidate -> new ScoredTarget(candidate.state(), cost(candidate, query, now)))
        .reduce((best, next) -> next.isClearlyCheaperThan(best) ? next : best)
        .map(ScoredTarget::state);
  }

  private boolean mayTake(TargetState state, RouteQuery query, Instant now) {
    return !query.excluded().contains(state.target())
        && state.isEligible(now)
        && !isEvacuated(state);
  }

  private boolean isEvacuated(TargetState state) {
    return evacuatedZones.contains(state.status().zone());
  }

  private double cost(Candidate candidate, RouteQuery query, Instant now) {
    TargetState state = candidate.state();
    boolean otherZone = !state.status().zone().equals(query.zone());
    double missProbability = query.prefixHash() == 0 ? 0 : candidate.missProbability();
    return state.costSeconds(query.estimatedTokens(), entries, now)
        + (otherZone ? options.otherZonePenaltySeconds() : 0)
        + missProbability * options.prefixSavingSeconds();
  }

  /**
   * Checks the cap on ejections. Without it, a fault that all targets share, such as a bad release,
   * would eject all of them. Targets in evacuated zones take no work and so don't count.
   */
  private boolean mayBeEjected(TargetState state, Instant now) {
    return state.status().served().stream()
        .map(this::servedTargets)
        .map(served -> served.all().stream().filter(each -> !isEvacuated(each)).toList())
        .allMatch(targetsInService -> isBelowEjectionCap(targetsInService, now));
  }

  private boolean isBelowEjectionCap(List<TargetState> all, Instant now) {
    long accepting = all.stream().filter(TargetState::takesWork).count();
    long ejected = all.stream().filter(target -> target.isEjected(now)).count();
    long cap = Math.max(accepting > 1 ? 1 : 0, (long) (accepting * options.largestEjectedShare()));
    return ejected < cap;
  }

  private static Set<String> without(Set<String> names, Set<String> others) {
    Set<String> result = new HashSet<>(names);
    result.removeAll(others);
    return result;
  }

  private ServedTargets servedTargets(String served) {
    return targetsByServed.computeIfAbsent(served, name -> new ServedTargets());
  }

  /**
   * A target that may get the work.
   *
   * @param state state of the target
   * @param missProbability probability that the prefix is not cached there, 0 to 1
   */
  private record Candidate(TargetState state, double missProbability) {
    static Candidate withPrefix(TargetState state) {
      return new Candidate(state, 0);
    }

    static Candidate withoutPrefix(TargetState state) {
      return new Candidate(state, 1);
    }
  }

  /**
   * A candidate with its estimated cost in seconds. Estimates are noisy: if the least of nearly
   * equal ones always won, the same targets would be chosen each time. An earlier candidate
   * therefore stays unless another is clearly cheaper.
   */
  private record ScoredTarget(TargetState state, double cost) {
    private static final double CLEARLY_CHEAPER_RATIO = 0.9;

    boolean isClearlyCheaperThan(ScoredTarget other) {
      return cost < CLEARLY_CHEAPER_RATIO * other.cost;
    }
  }
}
