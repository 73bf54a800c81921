package dev.ibishub.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.serving.TargetChoice.Candidate;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class TargetSpreadTest {
  private static final int SLOTS = 7;

  // Guards against entries that herd onto the ranks that were idle in reports 0.1 to 0.4 s old:
  // requests then wait for a slot at some ranks while others have free slots.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void levellingLeavesFewerRequestsWaitingThanTheLowestCost(long seed) {
    Fleet levelling = new Fleet(seed, 35, 63);
    Fleet nearLowest = new Fleet(seed, 35, 63);
    levelling.run(190, () -> TargetSpread.levelling(levelling.random.nextDouble()));
    nearLowest.run(190, () -> TargetSpread.nearLowest(1.1));

    assertThat(levelling.waitingShare())
        .as("seed %d, %.3f with the lowest cost", seed, nearLowest.waitingShare())
        .isLessThan(nearLowest.waitingShare() / 2);
  }

  @Test
  void levellingFillsTargetsInProportionToWhatTheyLack() {
    double[] costs = {2, 0, 1, 9};
    int[] picks = new int[costs.length];
    IntStream.range(0, 900)
        .mapToObj(i -> TargetSpread.levelling((i + 0.5) / 900))
        .forEach(spread -> picks[spread.pick(costs, 8)]++);

    assertThat(picks).containsExactly(200, 400, 300, 0);
  }

  @Test
  void levellingWithoutOtherEntriesTakesTheLowestCost() {
    assertThat(TargetSpread.levelling(0.99).pick(new double[] {3, 1, 2}, 0)).isEqualTo(1);
  }

  /** Entries that send to targets by reports that reach all of them 150 ms late. */
  private static final class Fleet {
    private static final long REPORT_MILLIS = 200;
    private static final long REPORT_DELAY_MILLIS = 150;
    private static final long RUN_MILLIS = 20_000;
    private static final double SERVICE_MILLIS = 1_700;

    private final Random random;
    private final List<List<Candidate>> views;
    private final List<SendRate> rates;
    private final int[] present;
    private final PriorityQueue<long[]> endings =
        new PriorityQueue<>((one, two) -> Long.compare(one[0], two[0]));
    private final List<long[]> reports = new ArrayList<>();
    private int requests;
    private int waiting;

    Fleet(long seed, int entries, int targets) {
      random = new Random(seed);
      views = IntStream.range(0, entries).mapToObj(any -> candidates(targets)).toList();
      rates = Stream.generate(SendRate::new).limit(entries).toList();
      present = new int[targets];
    }

    private static List<Candidate> candidates(int number) {
      return IntStream.range(0, number)
          .mapToObj(i -> new Candidate("" + i, true, new TargetLoad()))
          .toList();
    }

    void run(double requestsPerSecond, Supplier<TargetSpread> spread) {
      double nextAt = 0;
      for (long now = 0; now < RUN_MILLIS; now++) {
        while (!endings.isEmpty() && endings.peek()[0] <= now) {
          present[(int) endings.poll()[1]]--;
        }
        report(now);
        for (;
            nextAt <= now;
            nextAt -= Math.log(1 - random.nextDouble()) * 1_000 / requestsPerSecond) {
          send(spread.get(), now);
        }
      }
    }

    private void report(long now) {
      for (int target = 0; target < present.length; target++) {
        if ((now + 37L * target) % REPORT_MILLIS == 0) {
          reports.add(new long[] {target, present[target], now});
        }
      }
      reports.removeIf(report -> deliver(report, now));
    }

    private boolean deliver(long[] report, long now) {
      if (report[2] + REPORT_DELAY_MILLIS > now) {
        return false;
      }
      TargetReport delivered = TargetReport.ofRequests((int) report[1], report[2]);
      views.forEach(view -> view.get((int) report[0]).load().onReport(delivered));
      return true;
    }

    private void send(TargetSpread spread, long now) {
      int entry = random.nextInt(views.size());
      List<Candidate> shuffled = new ArrayList<>(views.get(entry));
      Collections.shuffle(shuffled, random);
      Candidate chosen =
          new TargetChoice(
                  views.size(),
                  Double.MAX_VALUE,
                  rates.get(entry).perMilli(now) * (views.size() - 1),
                  spread)
              .choose(shuffled, Set.of(), now)
              .orElseThrow();
      chosen.load().onSent(now);
      rates.get(entry).onSent(now);
      int target = Integer.parseInt(chosen.id());
      requests++;
      waiting += present[target] >= SLOTS ? 1 : 0;
      present[target]++;
      endings.add(
          new long[] {now + (long) (SERVICE_MILLIS * (0.2 + 1.6 * random.nextDouble())), target});
    }

    /** Share of the requests that found all slots of their target taken. */
    double waitingShare() {
      return (double) waiting / requests;
    }
  }
}
