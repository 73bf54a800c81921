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
  private static final double HOLDER_MISSES = 0.25;
  private static final double SECOND_OWNER_MISSES = 0.25;

  private final RouterOptions options;
  private final Map<String, TargetState> targets = new ConcurrentHashMap<>();
  private final Map<String, ServedTargets> byServed = new ConcurrentHashMap<>();
  private final CacheHints cacheHints;
  private final Object ejectionLock = new Object();
  private volatile int entries = 1;

  private Router(RouterOptions options) {
    this.options = options;
    this.cacheHints = CacheHints.withCapacity(64 * options.cachedPrefixesPerTarget());
  }

  /** Creates a router that knows no target. */
  public static Router create(RouterOptions options) {
    return new Router(options);
  }

  /**
   * Sets how many entries share the targets, this one among them.
   *
   * @param count at least 1
   */
  public void setEntries(int count) {
    entries = Math.max(1, count);
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
    List<Candidate> likelyCached = likelyCached(query, served);
    Stream<Candidate> atRandom = served.twoAtRandom(random).map(Candidate::withoutPrefix);
    return cheapest(Stream.concat(likelyCached.stream(), atRandom), query, now)
        .or(() -> cheapest(served.all().stream().map(Candidate::withoutPrefix), query, now))
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
            .mapToDouble(target -> target.waitSeconds(entries, now))
            .sorted()
            .toArray();
    return waits.length == 0
        ? Optional.empty()
        : Optional.of(Seconds.after(now, waits[waits.length / 2]));
  }

  /**
   * The first owner of the prefix is taken to have it, since that is where it is sent. Targets that
   * said that they have it, and the second owner, come after: were they as good, a prefix would
   * soon be cached everywhere, and there would be room for few.
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
            .map(state -> new Candidate(state, HOLDER_MISSES));
    Stream<Candidate> second =
        owners.stream().skip(1).map(state -> new Candidate(state, SECOND_OWNER_MISSES));
    return Stream.of(first, holders, second).flatMap(part -> part).toList();
  }

  private Optional<TargetState> cheapest(
      Stream<Candidate> candidates, RouteQuery query, Instant now) {
    return candidates
        .filter(candidate -> mayTake(candidate.state(), query, now))
        .map(candidate -> new Offer(candidate.state(), cost(candidate, query, now)))
        .reduce((best, next) -> next.isClearlyCheaperThan(best) ? next : best)
        .map(Offer::state);
  }

  private static boolean mayTake(TargetState state, RouteQuery query, Instant now) {
    return !query.excluded().contains(state.target()) && state.isEligible(now);
  }

  private double cost(Candidate candidate, RouteQuery query, Instant now) {
    TargetState state = candidate.state();
    boolean otherZone = !state.status().zone().equals(query.zone());
    double prefill = query.prefixHash() == 0 ? 0 : candidate.missShare();
    return state.costSeconds(query.estimatedTokens(), entries, now)
        + (otherZone ? options.otherZonePenaltySeconds() : 0)
        + prefill * options.prefixSavingSeconds();
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
   * A target that may get the work.
   *
   * @param state of the target
   * @param missShare how likely the prefix is not cached there, 0 to 1
   */
  private record Candidate(TargetState state, double missShare) {
    static Candidate withPrefix(TargetState state) {
      return new Candidate(state, 0);
    }

    static Candidate withoutPrefix(TargetState state) {
      return new Candidate(state, 1);
    }
  }

  /**
   * Estimates are noisy. Were the least of nearly equal ones always taken, the same targets would
   * win each time; so the candidate that was drawn first stays unless another is clearly cheaper.
   */
  private record Offer(TargetState state, double cost) {
    private static final double CLEARLY = 0.9;

    boolean isClearlyCheaperThan(Offer other) {
      return cost < CLEARLY * other.cost;
    }
  }
}
