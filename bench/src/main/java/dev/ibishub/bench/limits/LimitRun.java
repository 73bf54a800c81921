package dev.ibishub.bench.limits;

import dev.ibishub.core.serving.LimitDivision;
import dev.ibishub.core.serving.LimitStatement;
import dev.ibishub.core.serving.SharedLimits;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Simulation of entries that send to targets, some of which announce a rate limit for a while, as
 * entries are killed and restarted. Not thread-safe; the same seed gives the same run.
 *
 * <p>The entries keep limits by {@link SharedLimits}, as on the platform.
 */
final class LimitRun {
  private static final long DURATION_MILLIS = 60_000;
  private static final long LIMITED_FROM_MILLIS = 10_000;
  private static final long LIMITED_UNTIL_MILLIS = 45_000;
  private static final long WINDOW_MILLIS = 4_000;

  /** Time from the first announcement of a limit until it must be kept. */
  private static final long CONVERGENCE_MILLIS = 3_000;

  /** Time from a response that announces a limit until the entry that read it must keep it. */
  private static final long REACTION_MILLIS = 500;

  private static final double TOLERANCE_FACTOR = 1.5;
  private static final double SLACK_REQUESTS = 5;
  private static final long SERVICE_MILLIS = 1_000;
  private static final long TICK_MILLIS = 100;
  private static final long KILL_PERIOD_MILLIS = 6_000;
  private static final double KILLED_SHARE = 0.3;
  private static final long DOWNTIME_MILLIS = 1_200;
  private static final long SNAPSHOT_DELAY_MILLIS = 250;
  private static final long MAX_VIEW_STALENESS_MILLIS = 900;
  private static final long MAX_PEER_DELAY_MILLIS = 150;
  private static final long MAX_HEAD_DELAY_MILLIS = 600;

  private final Scenario scenario;
  private final LimitDivision division;
  private final boolean isEnforced;
  private final Random random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
  private final List<Entry> entries;
  private final Map<Integer, List<Long>> boundArrivals = new HashMap<>();
  private final Map<Integer, Long> limitedSince = new HashMap<>();
  private final int[] running;
  private long number;
  private long limitedArrivals;
  private long refused;
  private long requests;

  /**
   * Parameters of a run.
   *
   * @param entries number of entries
   * @param targets number of targets
   * @param limited number of targets that announce a limit
   * @param limit requests a second that each limited target accepts
   * @param requestsPerSecond total rate of requests over all entries
   */
  record Scenario(int entries, int targets, int limited, double limit, double requestsPerSecond) {}

  /**
   * The results of a run.
   *
   * @param maxArrivals maximum requests that a limited target received within a window, from
   *     entries that knew its limit
   * @param allowed maximum that a target may receive in a window
   * @param used requests to limited targets, as a share of the limits
   * @param refused share of the requests that were refused because no target allowed them
   */
  record Outcome(long maxArrivals, double allowed, double used, double refused) {}

  private record Event(long at, long number, Runnable action) {}

  private static final class Entry {
    private final String host;
    private final long viewStalenessMillis;
    private final List<Long> lifecycleChanges = new ArrayList<>();
    private Map<Integer, Long> limitKnownSince = new HashMap<>();
    private SharedLimits limits;

    Entry(String host, long viewStalenessMillis) {
      this.host = host;
      this.viewStalenessMillis = viewStalenessMillis;
    }

    boolean isAlive() {
      return wasAlive(Long.MAX_VALUE);
    }

    /** An entry starts alive; each change kills or restarts it. */
    boolean wasAlive(long at) {
      return lifecycleChanges.stream().filter(changeMillis -> changeMillis <= at).count() % 2 == 0;
    }
  }

  /**
   * Creates a run.
   *
   * @param isEnforced whether entries keep limits at all
   */
  LimitRun(Scenario scenario, LimitDivision division, boolean isEnforced, long seed) {
    this.scenario = scenario;
    this.division = division;
    this.isEnforced = isEnforced;
    this.random = new Random(seed);
    this.running = new int[scenario.targets()];
    this.entries =
        IntStream.range(0, scenario.entries())
            .mapToObj(i -> new Entry("10.0.0." + i, randomMillis(MAX_VIEW_STALENESS_MILLIS)))
            .toList();
  }

  Outcome run() {
    entries.forEach(entry -> start(entry, 0));
    entries.forEach(entry -> nextRequest(entry, 0));
    after(0, KILL_PERIOD_MILLIS, () -> kill(KILL_PERIOD_MILLIS));
    while (!events.isEmpty() && events.peek().at() < DURATION_MILLIS) {
      events.poll().action().run();
    }
    double offered =
        scenario.limited()
            * scenario.limit()
            * (LIMITED_UNTIL_MILLIS - LIMITED_FROM_MILLIS)
            / 1_000.0;
    return new Outcome(
        boundArrivals.values().stream().mapToLong(LimitRun::maxInWindow).max().orElse(0),
        TOLERANCE_FACTOR * scenario.limit() * WINDOW_MILLIS / 1_000 + SLACK_REQUESTS,
        limitedArrivals / offered,
        (double) refused / requests);
  }

  private void start(Entry entry, long now) {
    entry.limits = new SharedLimits(entry.host, division);
    entry.limitKnownSince = new HashMap<>();
    SharedLimits limits = entry.limits;
    after(now, TICK_MILLIS, () -> tick(entry, limits, now + TICK_MILLIS));
  }

  private void tick(Entry entry, SharedLimits limits, long now) {
    if (!entry.isAlive() || entry.limits != limits) {
      return;
    }
    limits.tick(view(entry, now), now);
    sendToPeers(entry, limits.takeDueBroadcasts(), now);
    after(now, TICK_MILLIS, () -> tick(entry, limits, now + TICK_MILLIS));
  }

  private Set<String> view(Entry entry, long now) {
    return Stream.concat(
            Stream.of(entry),
            entries.stream().filter(other -> other.wasAlive(now - entry.viewStalenessMillis)))
        .map(each -> each.host)
        .collect(Collectors.toSet());
  }

  private void sendToPeers(Entry from, List<LimitStatement> statements, long now) {
    if (statements.isEmpty()) {
      return;
    }
    entries.stream()
        .filter(other -> other != from)
        .forEach(other -> deliver(other, statements, now));
  }

  private void deliver(Entry entry, List<LimitStatement> statements, long now) {
    long delay = randomMillis(MAX_PEER_DELAY_MILLIS);
    after(
        now,
        delay,
        () -> {
          if (entry.isAlive()) {
            statements.forEach(statement -> entry.limits.onPeerStatement(statement, now + delay));
          }
        });
  }

  private void kill(long now) {
    entries.stream()
        .filter(entry -> entry.isAlive() && random.nextDouble() < KILLED_SHARE)
        .forEach(
            entry -> {
              entry.lifecycleChanges.add(now);
              after(now, DOWNTIME_MILLIS, () -> restart(entry, now + DOWNTIME_MILLIS));
            });
    after(now, KILL_PERIOD_MILLIS, () -> kill(now + KILL_PERIOD_MILLIS));
  }

  private void restart(Entry entry, long now) {
    entry.lifecycleChanges.add(now);
    start(entry, now);
    entries.stream()
        .filter(other -> other != entry && other.isAlive())
        .findFirst()
        .ifPresent(
            other ->
                after(
                    now,
                    SNAPSHOT_DELAY_MILLIS,
                    () -> deliver(entry, other.limits.all(), now + SNAPSHOT_DELAY_MILLIS)));
  }

  private void nextRequest(Entry entry, long now) {
    double requestsPerMilli = scenario.requestsPerSecond() / scenario.entries() / 1_000;
    long pause = 1 + (long) (-Math.log(1 - random.nextDouble()) / requestsPerMilli);
    after(now, pause, () -> request(entry, now + pause));
  }

  private void request(Entry entry, long now) {
    nextRequest(entry, now);
    if (!entry.isAlive()) {
      return;
    }
    requests++;
    List<Integer> allowed =
        IntStream.range(0, scenario.targets())
            .filter(target -> !isEnforced || entry.limits.allows(incarnation(target), now))
            .boxed()
            .toList();
    if (allowed.isEmpty()) {
      refused++;
      return;
    }
    int leastRunning = allowed.stream().mapToInt(target -> running[target]).min().orElseThrow();
    List<Integer> leastLoaded =
        allowed.stream().filter(target -> running[target] == leastRunning).toList();
    send(entry, leastLoaded.get(random.nextInt(leastLoaded.size())), now);
  }

  private void send(Entry entry, int target, long now) {
    running[target]++;
    after(now, SERVICE_MILLIS, () -> running[target]--);
    entry.limits.onSent(incarnation(target), now);
    boolean isLimited =
        target < scenario.limited() && now >= LIMITED_FROM_MILLIS && now < LIMITED_UNTIL_MILLIS;
    if (isLimited) {
      limitedArrivals++;
      limitedSince.putIfAbsent(target, now);
      boolean isBound =
          now >= limitedSince.get(target) + CONVERGENCE_MILLIS
              && entry.limitKnownSince.getOrDefault(target, now) <= now - REACTION_MILLIS;
      if (isBound) {
        boundArrivals.computeIfAbsent(target, any -> new ArrayList<>()).add(now);
      }
    }
    OptionalDouble limit = isLimited ? OptionalDouble.of(scenario.limit()) : OptionalDouble.empty();
    SharedLimits limits = entry.limits;
    long delay = 1 + randomMillis(MAX_HEAD_DELAY_MILLIS);
    after(
        now,
        delay,
        () -> {
          if (entry.isAlive() && entry.limits == limits) {
            onResponseHead(entry, target, limit, now, now + delay);
          }
        });
  }

  private void onResponseHead(
      Entry entry, int target, OptionalDouble limit, long sentAt, long now) {
    if (limit.isPresent()) {
      entry.limitKnownSince.putIfAbsent(target, now);
    }
    entry
        .limits
        .onAnswer(incarnation(target), limit, sentAt, now)
        .ifPresent(statement -> sendToPeers(entry, List.of(statement), now));
  }

  private static String incarnation(int target) {
    return "t" + target + "@0";
  }

  private long randomMillis(long max) {
    return (long) (random.nextDouble() * max);
  }

  private void after(long now, long delay, Runnable action) {
    events.add(new Event(now + delay, number++, action));
  }

  private static long maxInWindow(List<Long> times) {
    return times.stream()
        .mapToLong(
            from ->
                times.stream().filter(time -> time >= from && time < from + WINDOW_MILLIS).count())
        .max()
        .orElse(0);
  }
}
