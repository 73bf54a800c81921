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
 * Chooses the target of a request at an entry. It estimates when each candidate would start the
 * work and takes the earliest; candidates are two targets at random, the one that the prompt's
 * prefix belongs to and those that are believed to have it cached. Load reports are late, so what
 * this entry sent since a report was measured is added to it; without that, every entry sends its
 * work to the target that looked idle in the last report.
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
  private final RouterOptions options;
  private final Map<String, TargetState> targets = new ConcurrentHashMap<>();
  private final Map<String, ServedTargets> byServed = new ConcurrentHashMap<>();
  private final CacheHints cacheHints;
  private final Object ejectionLock = new Object();

  private Router(RouterOptions options) {
    this.options = options;
    this.cacheHints = CacheHints.withCapacity(64 * options.cachedPrefixesPerTarget());
  }

  /** Creates a router that knows no target. */
  public static Router create(RouterOptions options) {
    return new Router(options);
  }

  /**
   * Takes a target's report. One that was measured before the last is dropped.
   *
   * @param status what the target's agent says
   * @param now the current time
   */
  public void report(TargetStatus status, Instant now) {
    TargetState state =
        targets.computeIfAbsent(status.target(), target -> new TargetState(target, options, now));
    // One report of a target at a time, or else a late one could undo the lists of a newer one.
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
   * Forgets a target.
   *
   * @param target that is gone
   */
  public void remove(String target) {
    TargetState state = targets.remove(target);
    if (state != null) {
      state.status().served().forEach(served -> servedTargets(served).remove(state));
    }
  }

  /**
   * Chooses a target. Choosing changes nothing: report the dispatch by {@link #sent}.
   *
   * @param query what the request needs
   * @param now the current time
   * @param random source of the random candidates
   * @return the target, or empty when none that serves the request takes work
   */
  public Optional<String> choose(RouteQuery query, Instant now, RandomGenerator random) {
    ServedTargets served = byServed.get(query.served());
    if (served == null) {
      return Optional.empty();
    }
    List<String> holders =
        query.prefixHash() == 0 ? List.of() : cacheHints.holders(query.prefixHash());
    Set<TargetState> likelyCached = likelyCached(query, served, holders);
    Stream<TargetState> candidates =
        Stream.concat(likelyCached.stream(), served.twoAtRandom(random));
    return cheapest(candidates, likelyCached, query, now)
        .or(() -> cheapest(served.all().stream(), likelyCached, query, now))
        .map(TargetState::target);
  }

  /**
   * Notes that work was dispatched.
   *
   * @param target that got it
   * @param tokens expected cost
   * @param now the current time
   */
  public void sent(String target, double tokens, Instant now) {
    TargetState state = targets.get(target);
    if (state != null) {
      state.sent(tokens, now);
    }
  }

  /**
   * Notes that an attempt has ended.
   *
   * @param target that had it
   * @param tokens that it produced
   * @param failed whether the target was at fault
   * @param started when the target started it
   * @param now the current time
   */
  public void finished(String target, double tokens, boolean failed, Instant started, Instant now) {
    TargetState state = targets.get(target);
    if (state == null || !state.finished(failed)) {
      return;
    }
    // One lock over all ejections: two targets that fail at once must not both pass the cap.
    synchronized (ejectionLock) {
      if (!state.isEjected(now) && mayBeEjected(state, now)) {
        state.eject(now);
      }
    }
  }

  /**
   * Takes a target's cache events, which may be late and have gaps.
   *
   * @param target that sent them
   * @param added hashes of the prefixes that it has cached
   * @param evicted hashes of the prefixes that it dropped
   */
  public void cacheReport(String target, Collection<Long> added, Collection<Long> evicted) {
    evicted.forEach(prefix -> cacheHints.evicted(prefix, target));
    added.forEach(prefix -> cacheHints.added(prefix, target));
  }

  /**
   * Estimates when work would start that came now.
   *
   * @param served what the target must serve
   * @param now the current time
   * @return the estimate, or empty when no target that serves it takes work
   */
  public Optional<Instant> estimatedStart(String served, Instant now) {
    ServedTargets known = byServed.get(served);
    if (known == null) {
      return Optional.empty();
    }
    double[] waits =
        known
            .sample()
            .filter(target -> target.isEligible(now))
            .mapToDouble(target -> target.waitSeconds(now))
            .sorted()
            .toArray();
    return waits.length == 0
        ? Optional.empty()
        : Optional.of(Seconds.after(now, waits[waits.length / 2]));
  }

  private Set<TargetState> likelyCached(
      RouteQuery query, ServedTargets served, List<String> holders) {
    if (query.prefixHash() == 0) {
      return Set.of();
    }
    Set<TargetState> known = new HashSet<>();
    holders.stream()
        .map(targets::get)
        .filter(state -> state != null && state.status().served().contains(query.served()))
        .forEach(known::add);
    if (known.isEmpty()) {
      served.owner(query.prefixHash()).ifPresent(known::add);
    }
    return known;
  }

  private Optional<TargetState> cheapest(
      Stream<TargetState> candidates,
      Set<TargetState> likelyCached,
      RouteQuery query,
      Instant now) {
    return candidates
        .filter(state -> !query.excluded().contains(state.target()) && state.isEligible(now))
        .map(state -> new Candidate(state, cost(state, likelyCached, query, now)))
        .reduce((best, next) -> next.isClearlyCheaperThan(best) ? next : best)
        .map(Candidate::state);
  }

  private double cost(
      TargetState state, Set<TargetState> likelyCached, RouteQuery query, Instant now) {
    boolean otherZone = !state.status().zone().equals(query.zone());
    boolean prefill = query.prefixHash() != 0 && !likelyCached.contains(state);
    return state.costSeconds(query.estimatedTokens(), now)
        + (otherZone ? options.otherZonePenaltySeconds() : 0)
        + (prefill ? options.prefixSavingSeconds() : 0);
  }

  /**
   * A fault that all targets share, such as a bad release, would else eject them all and leave
   * nobody to serve.
   */
  private boolean mayBeEjected(TargetState state, Instant now) {
    return state.status().served().stream()
        .map(this::servedTargets)
        .allMatch(served -> hasRoomForEjection(served.all(), now));
  }

  private boolean hasRoomForEjection(List<TargetState> all, Instant now) {
    long working = all.stream().filter(TargetState::takesWork).count();
    long ejected = all.stream().filter(target -> target.isEjected(now)).count();
    long most = Math.max(working > 1 ? 1 : 0, (long) (working * options.largestEjectedShare()));
    return ejected < most;
  }

  private static Set<String> without(Set<String> names, Set<String> others) {
    Set<String> result = new HashSet<>(names);
    result.removeAll(others);
    return result;
  }

  private ServedTargets servedTargets(String served) {
    return byServed.computeIfAbsent(served, name -> new ServedTargets());
  }

  /**
   * Estimates are noisy. Were the least of nearly equal ones always taken, the same targets would
   * win each time; so the candidate that was drawn first stays unless another is clearly cheaper.
   */
  private record Candidate(TargetState state, double cost) {
    private static final double CLEARLY = 0.9;

    boolean isClearlyCheaperThan(Candidate other) {
      return cost < CLEARLY * other.cost;
    }
  }
}
