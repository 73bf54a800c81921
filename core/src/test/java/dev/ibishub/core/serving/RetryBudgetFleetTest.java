package dev.ibishub.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.entries.IncarnationCount;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.LongConsumer;
import java.util.stream.DoubleStream;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Simulates entries that are killed and restarted while most attempts are refused. */
final class RetryBudgetFleetTest {
  private static final long WINDOW_MILLIS = 10_000;
  private static final RetryLimits LIMITS = new RetryLimits(0.2, 88, WINDOW_MILLIS);
  private static final double REQUESTS_PER_SECOND = 65;
  private static final double REFUSED_SHARE = 0.8;
  private static final double RARELY_REFUSED_SHARE = 0.05;
  private static final double KILLED_SHARE = 0.3;
  private static final long LENGTH_MILLIS = 40_000;
  private static final long REFUSED_FROM_MILLIS = 3_000;
  private static final long REFUSED_UNTIL_MILLIS = 30_000;
  private static final long KILLED_FROM_MILLIS = 7_000;
  private static final long KILL_PERIOD_MILLIS = 5_000;
  private static final long DOWN_MILLIS = 1_000;
  private static final long VIEW_LAG_MILLIS = 900;
  private static final long DISCOVERY_MILLIS = 250;
  private static final long FIRST_START_MILLIS = -15_000;
  private static final long COUNT_PERIOD_MILLIS = 100;
  private static final long[] RETRY_DELAYS_MILLIS = {4, 250, 500};
  private static final Set<Long> POWER_LOSSES_MILLIS = Set.of(9_000L, 13_000L);
  private static final int SEEDS = 10;
  private static final long ROUNDS = 2;

  private static final class Entry {
    private SharedRetryBudget budget = new SharedRetryBudget(() -> LIMITS);
    private IncarnationCount seen = new IncarnationCount(WINDOW_MILLIS, FIRST_START_MILLIS);
    private long startedAt = FIRST_START_MILLIS;
    private long downFrom = Long.MAX_VALUE;
    private int incarnations = 1;

    /** Whether it runs at a time, given its latest kill. */
    boolean isAlive(long now) {
      return now < downFrom || now >= downFrom + DOWN_MILLIS;
    }
  }

  private record Retry(long at, int entry, int incarnation, int sends) {}

  private final List<Entry> entries = new ArrayList<>();
  private final List<Long> requests = new ArrayList<>();
  private final List<Long> retries = new ArrayList<>();
  private Random random;
  private double refusedShare;
  private int retriesNotGranted;

  // Guards against an overspent budget while entries are killed and restart, and see only late how
  // many entries there are.
  @ParameterizedTest
  @CsvSource({"3", "6", "22", "48"})
  void retriesStayWithinBudgetWhileEntriesRestart(int entryCount) {
    LongStream.rangeClosed(1, SEEDS)
        .forEach(
            seed -> {
              simulate(entryCount, seed, REFUSED_SHARE, this::killSome);
              assertWithinBudget("%d entries, seed %d".formatted(entryCount, seed));
              assertThat(retries).hasSizeGreaterThan(requests.size() / 10);
            });
  }

  // Guards against an overspent budget when all entries restart at once, twice within a window.
  @ParameterizedTest
  @CsvSource({"3", "6", "22", "48"})
  void retriesStayWithinBudgetAfterLossesOfPower(int entryCount) {
    LongStream.rangeClosed(1, SEEDS)
        .forEach(
            seed -> {
              simulate(entryCount, seed, REFUSED_SHARE, this::killAll);
              assertWithinBudget("%d entries, seed %d".formatted(entryCount, seed));
            });
  }

  // Guards against an overspent budget while entries restart again and again within a window.
  @ParameterizedTest
  @CsvSource({"3", "6", "22", "48"})
  void retriesStayWithinBudgetWhileEntriesKeepRestarting(int entryCount) {
    LongStream.rangeClosed(1, SEEDS)
        .forEach(
            seed -> {
              simulate(entryCount, seed, REFUSED_SHARE, this::killHalfOften);
              assertWithinBudget("%d entries, seed %d".formatted(entryCount, seed));
            });
  }

  // Guards against an overspent budget while all entries restart one after the other, each twice.
  @ParameterizedTest
  @CsvSource({"3", "6", "22", "48"})
  void retriesStayWithinBudgetInRollingRestart(int entryCount) {
    LongStream.rangeClosed(1, SEEDS)
        .forEach(
            seed -> {
              simulate(entryCount, seed, REFUSED_SHARE, this::killNext);
              assertWithinBudget("%d entries, seed %d".formatted(entryCount, seed));
            });
  }

  // Guards against entries that have no retries for a window after they restart, although few
  // requests need one.
  @ParameterizedTest
  @CsvSource({"6, 0.02", "22, 0.03", "48, 0.14"})
  void fewNeededRetriesAreNotGrantedAfterRestarts(int entryCount, double notGrantedShare) {
    int granted = 0;
    int notGranted = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      simulate(entryCount, seed, RARELY_REFUSED_SHARE, this::killSome);
      granted += retries.size();
      notGranted += retriesNotGranted;
    }
    assertThat(notGranted)
        .as("%d entries, seeds 1 to %d, %d retries granted", entryCount, SEEDS, granted)
        .isLessThan((int) (notGrantedShare * (granted + notGranted)));
  }

  private void assertWithinBudget(String simulation) {
    retries.forEach(
        from ->
            assertThat(within(retries, from))
                .as("%s, retries from %d", simulation, from)
                .isLessThanOrEqualTo(allowed(from)));
  }

  private void simulate(
      int entryCount, long seed, double shareOfRefusedAttempts, LongConsumer kills) {
    random = new Random(seed);
    refusedShare = shareOfRefusedAttempts;
    retriesNotGranted = 0;
    entries.clear();
    requests.clear();
    retries.clear();
    IntStream.range(0, entryCount).forEach(i -> entries.add(new Entry()));
    PriorityQueue<Retry> due =
        new PriorityQueue<>((one, other) -> Long.compare(one.at(), other.at()));
    for (long now = 0; now < LENGTH_MILLIS; now++) {
      kills.accept(now);
      restart(now);
      if (now % COUNT_PERIOD_MILLIS == 0) {
        countEntries(now);
      }
      if (random.nextDouble() < REQUESTS_PER_SECOND / 1_000) {
        sendRequest(now, due);
      }
      while (!due.isEmpty() && due.peek().at() <= now) {
        sendRetry(due.poll(), now, due);
      }
    }
  }

  private void killSome(long now) {
    killEvery(KILL_PERIOD_MILLIS, KILLED_SHARE, now);
  }

  private void killHalfOften(long now) {
    killEvery(KILL_PERIOD_MILLIS / 2, 0.5, now);
  }

  private void killEvery(long period, double share, long now) {
    if (now >= KILLED_FROM_MILLIS && (now - KILLED_FROM_MILLIS) % period == 0) {
      entries.stream()
          .filter(entry -> entry.isAlive(now) && random.nextDouble() < share)
          .forEach(entry -> entry.downFrom = now);
    }
  }

  private void killAll(long now) {
    if (POWER_LOSSES_MILLIS.contains(now)) {
      entries.forEach(entry -> entry.downFrom = now);
    }
  }

  private void killNext(long now) {
    long period = WINDOW_MILLIS / entries.size();
    long turn = (now - KILLED_FROM_MILLIS) / period;
    boolean isDue = now >= KILLED_FROM_MILLIS && (now - KILLED_FROM_MILLIS) % period == 0;
    if (isDue && turn < ROUNDS * entries.size()) {
      entries.get((int) (turn % entries.size())).downFrom = now;
    }
  }

  private void restart(long now) {
    entries.stream()
        .filter(entry -> entry.downFrom != Long.MAX_VALUE && now == entry.downFrom + DOWN_MILLIS)
        .forEach(
            entry -> {
              entry.budget = new SharedRetryBudget(() -> LIMITS);
              entry.seen = new IncarnationCount(WINDOW_MILLIS, now);
              entry.startedAt = now;
              entry.incarnations++;
            });
  }

  private void countEntries(long now) {
    entries.forEach(
        entry -> entry.seen.onSeen(seenBy(entry, now), seenRestartedBy(entry, now), now));
  }

  private void sendRequest(long now, PriorityQueue<Retry> due) {
    requests.add(now);
    int index = random.nextInt(entries.size());
    Entry entry = entries.get(index);
    if (entry.isAlive(now)) {
      entry.budget.onRequest(now);
      afterSend(new Retry(now, index, entry.incarnations, 1), now, due);
    }
  }

  private void afterSend(Retry sent, long now, PriorityQueue<Retry> due) {
    boolean isRefused =
        now >= REFUSED_FROM_MILLIS
            && now < REFUSED_UNTIL_MILLIS
            && random.nextDouble() < refusedShare;
    if (isRefused && sent.sends() <= RETRY_DELAYS_MILLIS.length) {
      due.add(
          new Retry(
              now + RETRY_DELAYS_MILLIS[sent.sends() - 1],
              sent.entry(),
              sent.incarnation(),
              sent.sends() + 1));
    }
  }

  private void sendRetry(Retry next, long now, PriorityQueue<Retry> due) {
    Entry entry = entries.get(next.entry());
    boolean isSameIncarnation = entry.incarnations == next.incarnation();
    if (!entry.isAlive(now) || !isSameIncarnation) {
      return;
    }
    if (entry.budget.tryRetry(now, entry.seen.get())) {
      retries.add(now);
      afterSend(next, now, due);
    } else {
      retriesNotGranted++;
    }
  }

  /** Returns how many entries one sees: the number some time ago, and only itself at first. */
  private int seenBy(Entry entry, long now) {
    return now - entry.startedAt < DISCOVERY_MILLIS
        ? 1
        : (int) entries.stream().filter(each -> each.isAlive(now - VIEW_LAG_MILLIS)).count();
  }

  /** Returns how many entries one sees that started within a window, itself included. */
  private int seenRestartedBy(Entry entry, long now) {
    return (int)
        entries.stream()
            .filter(each -> each == entry || each.isAlive(now - VIEW_LAG_MILLIS))
            .filter(each -> each.incarnations > 1 && now - each.startedAt < WINDOW_MILLIS)
            .count();
  }

  private double allowed(long from) {
    double counted =
        DoubleStream.of(
                within(requests, from),
                within(requests, from - WINDOW_MILLIS),
                within(requests, from - WINDOW_MILLIS / 2))
            .max()
            .orElseThrow();
    return LIMITS.retriesPerRequest() * counted + LIMITS.sharedAllowance();
  }

  private static double within(List<Long> times, long from) {
    return times.stream().filter(time -> time >= from && time < from + WINDOW_MILLIS).count();
  }
}
