package dev.ibishub.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.entries.RememberedEntries;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Simulates entries that all have more requests for one cold target than it tolerates, while they
 * learn of each other and of the target late.
 */
final class ColdLimitFleetTest {
  private static final long BOUND = 26;
  private static final Optional<ColdLimit> LIMIT = Optional.of(new ColdLimit(14, 1.5, 5));
  private static final String TARGET = "t@1";

  private static final long LENGTH_MILLIS = 20_000;
  private static final long STEP_MILLIS = 20;
  private static final long VIEW_STEP_MILLIS = 100;
  private static final long COLD_FROM_MILLIS = 3_000;
  private static final long CUT_FROM_MILLIS = 8_000;
  private static final long CUT_UNTIL_MILLIS = 16_000;
  private static final long JOIN_FROM_MILLIS = 5_000;
  private static final long JOIN_UNTIL_MILLIS = 14_000;
  private static final long RESTART_SPREAD_MILLIS = 1_500;
  private static final long MAXIMUM_VIEW_LAG_MILLIS = 900;
  private static final long MAXIMUM_NEWS_LAG_MILLIS = 2_000;

  /** Requests a second that reach the target while it is warm, from all entries together. */
  private static final double WARM_PER_SECOND = 8;

  /** From when the faults are over, or the entries have settled with them. */
  private static final long LAST_FROM_MILLIS = 16_000;

  /** Half of what the target tolerates in the last 4 s. */
  private static final long LEAST_IN_LAST = 28;

  private static final long LONG_AGO = -30_000;

  /** Runs of a fleet of up to 100 entries, and of a larger one, whose runs take seconds. */
  private static final int SEEDS = 5;

  private static final int SEEDS_OF_LARGE_FLEET = 1;
  private static final List<Integer> FLEETS = List.of(3, 35, 58, 370);

  /** A fault of the fleet. */
  private enum Fault {
    NONE,
    /** Half of the entries are cut off from the others for a while. */
    CUT,
    /** A third of the entries start while half of all are cut off from the others. */
    JOIN_WHILE_CUT,
    /** All entries have just restarted. */
    RESTART,
    /** All entries have just restarted, and neither half ever hears the other. */
    RESTART_WHILE_CUT,
    /** Each entry is cut off from all others for a while. */
    ALL_ALONE,
    /** All entries have just restarted, and none ever hears another; the store has named them. */
    RESTART_ALL_ALONE,
    /** A target in use turns cold, which some entries learn up to 2 s later than others. */
    LATE_NEWS
  }

  private static final class Entry {
    private final String host;
    private final long startedAt;
    private final long viewLagMillis;
    private final long learnsColdAt;
    private final boolean isInSecondHalf;
    private final SharedLimits limits;
    private RememberedEntries remembered;

    Entry(int number, long startedAt, long learnsColdAt, Random random) {
      this.host = "10.0.%d.%d".formatted(number / 250, number % 250);
      this.startedAt = startedAt;
      this.learnsColdAt = learnsColdAt;
      this.viewLagMillis = random.nextLong(MAXIMUM_VIEW_LAG_MILLIS);
      this.isInSecondHalf = number % 2 == 1;
      this.limits = new SharedLimits(host, LimitDivision.amongFewHolders());
    }

    boolean knowsCold(long now) {
      return now >= learnsColdAt;
    }

    void tick(Set<String> heard, List<String> named, long now) {
      if (remembered == null) {
        remembered = new RememberedEntries(host, now);
        remembered.onNamed(named, now);
      }
      remembered.onHeard(heard, now);
      limits.tickCold(remembered.participants(now), now);
      if (now >= learnsColdAt) {
        boolean wasInUse = learnsColdAt >= COLD_FROM_MILLIS;
        limits.onCold(TARGET, () -> LIMIT, wasInUse, LENGTH_MILLIS, now);
      }
    }
  }

  static Stream<Arguments> cases() {
    return FLEETS.stream()
        .flatMap(fleet -> Stream.of(Fault.values()).map(fault -> Arguments.of(fleet, fault)));
  }

  // Guards against a cold target that crashes, and stops its whole group, because entries that
  // don't hear each other, or learn of each other late, each spend the whole limit.
  @ParameterizedTest
  @MethodSource("cases")
  void entriesTogetherStayWithinBound(int fleet, Fault fault) {
    Map<Long, Long> maximumBySeed = new HashMap<>();
    Map<Long, Long> lastBySeed = new HashMap<>();
    LongStream.rangeClosed(1, fleet > 100 ? SEEDS_OF_LARGE_FLEET : SEEDS)
        .forEach(
            seed -> {
              List<Long> sends = run(fleet, fault, seed);
              maximumBySeed.put(seed, maximumInSecond(sends));
              lastBySeed.put(seed, sends.stream().filter(at -> at >= LAST_FROM_MILLIS).count());
            });
    System.out.printf(
        "cold %d %s: most in a second by seed %s, in the last 4 s %s%n",
        fleet, fault, maximumBySeed, lastBySeed);

    assertThat(maximumBySeed.values())
        .allSatisfy(most -> assertThat(most).isLessThanOrEqualTo(BOUND));
    // Refusing everything would keep the bound, too.
    assertThat(lastBySeed.values())
        .allSatisfy(sends -> assertThat(sends).isGreaterThanOrEqualTo(LEAST_IN_LAST));
  }

  /** Returns when the target got requests, in order. */
  private static List<Long> run(int fleet, Fault fault, long seed) {
    Random random = new Random(seed);
    List<Entry> entries =
        IntStream.range(0, fleet).mapToObj(number -> entry(number, fault, random)).toList();
    List<Long> sends = new ArrayList<>();
    for (long now = 0; now < LENGTH_MILLIS; now += STEP_MILLIS) {
      if (now % VIEW_STEP_MILLIS == 0) {
        tick(entries, fault, now);
      }
      for (Entry entry : entries) {
        if (entry.startedAt <= now && wantsToSend(entry, fleet, now, random)) {
          entry.limits.onSent(TARGET, now);
          sends.add(now);
        }
      }
    }
    return sends;
  }

  private static Entry entry(int number, Fault fault, Random random) {
    long startedAt =
        switch (fault) {
          case RESTART, RESTART_WHILE_CUT, RESTART_ALL_ALONE ->
              nextTick(random, 0, RESTART_SPREAD_MILLIS);
          case JOIN_WHILE_CUT ->
              number % 3 == 2 ? nextTick(random, JOIN_FROM_MILLIS, JOIN_UNTIL_MILLIS) : LONG_AGO;
          default -> LONG_AGO;
        };
    long newsLag = fault == Fault.LATE_NEWS ? nextTick(random, 0, MAXIMUM_NEWS_LAG_MILLIS) : 0;
    long coldFrom = fault == Fault.LATE_NEWS ? COLD_FROM_MILLIS : LONG_AGO;
    return new Entry(number, startedAt, coldFrom + newsLag, random);
  }

  /** Returns a time at which entries tick, so that one that starts knows the target's state. */
  private static long nextTick(Random random, long from, long until) {
    return random.nextLong(from, until) / VIEW_STEP_MILLIS * VIEW_STEP_MILLIS;
  }

  /** A target that is not known to be cold gets its usual requests, a cold one all it may get. */
  private static boolean wantsToSend(Entry entry, int fleet, long now, Random random) {
    if (entry.knowsCold(now)) {
      return entry.limits.allows(TARGET, now);
    }
    return random.nextDouble() < WARM_PER_SECOND / fleet * STEP_MILLIS / 1_000;
  }

  private static void tick(List<Entry> entries, Fault fault, long now) {
    Map<String, Set<String>> shared = new HashMap<>();
    List<String> named =
        fault == Fault.RESTART_ALL_ALONE
            ? entries.stream().map(entry -> entry.host).toList()
            : List.of();
    for (Entry entry : entries) {
      if (entry.startedAt > now) {
        continue;
      }
      long seenAt = now - entry.viewLagMillis / VIEW_STEP_MILLIS * VIEW_STEP_MILLIS;
      Predicate<Entry> isHeard = other -> other == entry || isHeard(entry, other, fault, seenAt);
      // Entries with one lag on one side see the same, which is computed once.
      String key =
          seenAt + (isAlone(entry, fault, seenAt) ? entry.host : "" + entry.isInSecondHalf);
      Set<String> heard =
          shared.computeIfAbsent(
              key,
              any ->
                  entries.stream()
                      .filter(isHeard)
                      .map(other -> other.host)
                      .collect(Collectors.toUnmodifiableSet()));
      entry.tick(heard, named, now);
    }
  }

  private static boolean isAlone(Entry entry, Fault fault, long at) {
    return entry.startedAt > at || fault == Fault.ALL_ALONE || fault == Fault.RESTART_ALL_ALONE;
  }

  private static boolean isHeard(Entry entry, Entry other, Fault fault, long at) {
    boolean isInTime = at >= CUT_FROM_MILLIS && at < CUT_UNTIL_MILLIS;
    boolean isOtherHalf = entry.isInSecondHalf != other.isInSecondHalf;
    boolean isCut =
        switch (fault) {
          case CUT, JOIN_WHILE_CUT -> isInTime && isOtherHalf;
          case RESTART_WHILE_CUT -> isOtherHalf;
          case ALL_ALONE -> isInTime;
          case RESTART_ALL_ALONE -> true;
          default -> false;
        };
    return entry.startedAt <= at && other.startedAt <= at && !isCut;
  }

  /** Returns the most sends in any second, which includes its begin and not its end. */
  private static long maximumInSecond(List<Long> sends) {
    int first = 0;
    int most = 0;
    for (int last = 0; last < sends.size(); last++) {
      while (sends.get(last) - sends.get(first) >= 1_000) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }
}
