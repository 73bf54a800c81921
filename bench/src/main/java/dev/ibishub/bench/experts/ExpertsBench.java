package dev.ibishub.bench.experts;

import dev.ibishub.bench.Bench;
import dev.ibishub.bench.BenchAim;
import dev.ibishub.bench.BenchReport;
import dev.ibishub.bench.BenchTable;
import dev.ibishub.bench.Chart;
import dev.ibishub.core.ExpertMap;
import dev.ibishub.core.ExpertPlanner;
import dev.ibishub.core.ExpertPlannerOptions;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * Measures step-time skew and experts fetched over a day of drift. Baselines never move experts,
 * plan from scratch at every planning time, or move greedily every hour. A perfect balance has skew
 * 1.
 */
public final class ExpertsBench implements Bench {
  private static final int EXPERTS = 128;
  private static final int TICKS_PER_HOUR = 6;
  private static final double EXPERT_GIGABYTES = 0.045;
  private static final double NANOS_PER_MILLI = 1e6;

  /** A rebalancing policy. */
  private interface Policy {
    ExpertMap next(int tick, ExpertMap map, double[][] popularity, double[] slowness);
  }

  private record NamedPolicy(String name, Policy policy) {}

  private record Size(int layers, int ranks, int slots, int planIntervalTicks) {}

  private record Day(
      String name,
      double meanSkew,
      double worstSkew,
      long fetches,
      long fetchesNearDeadline,
      double slowestPlanMillis,
      double largestPlanMegabytes,
      List<Chart.Point> points) {}

  @Override
  public String name() {
    return "experts";
  }

  @Override
  public BenchReport run(long seed) {
    List<Day> small = days(new Size(24, 16, 9, 1), seed);
    List<Day> large = days(new Size(58, 256, 1, TICKS_PER_HOUR), seed);
    return new BenchReport(
        List.of(
            table("16 ranks, 24 layers of 128 experts, 9 slots a rank, every 10 minutes", small),
            table("256 ranks, 58 layers of 128 experts, 1 slot a rank, every hour", large)),
        List.of(
            new Chart(
                "Step time over the ideal, 16 ranks",
                "hour",
                "times the ideal",
                small.stream().map(day -> new Chart.Line(day.name(), day.points())).toList())),
        List.of(
            skewAim("16 ranks", small),
            bytesAim("16 ranks", small),
            skewAim("256 ranks", large),
            bytesAim("256 ranks", large)));
  }

  private static List<Day> days(Size size, long seed) {
    return List.of(
            new NamedPolicy("never", (tick, map, popularity, slowness) -> map),
            new NamedPolicy(
                "always full",
                (tick, map, popularity, slowness) -> FullReplan.plan(map, popularity, slowness)),
            new NamedPolicy(
                "periodic greedy", hourly(planner(new ExpertPlannerOptions(1, 1, 0, 1 << 30)))),
            new NamedPolicy(
                "ibishub, even steps", planner(ExpertPlannerOptions.preferringEvenSteps())),
            new NamedPolicy(
                "ibishub, few moves", planner(ExpertPlannerOptions.preferringFewMoves())))
        .stream()
        .map(named -> day(named, size, seed))
        .toList();
  }

  private static Policy planner(ExpertPlannerOptions options) {
    ExpertPlanner planner = ExpertPlanner.create(options);
    return (tick, map, popularity, slowness) -> {
      boolean respectsDeadline = options.startSkew() > 1 && DriftingDay.isDeadlineNear(tick);
      Instant quietUntil = respectsDeadline ? Instant.MAX : Instant.MIN;
      return planner
          .plan(map, popularity, slowness, quietUntil, Instant.EPOCH)
          .map(ExpertPlanner.Plan::map)
          .orElse(map);
    };
  }

  private static Policy hourly(Policy policy) {
    return (tick, map, popularity, slowness) ->
        tick % TICKS_PER_HOUR == 0 ? policy.next(tick, map, popularity, slowness) : map;
  }

  private static Day day(NamedPolicy named, Size size, long seed) {
    DriftingDay drift = new DriftingDay(size.layers(), EXPERTS, size.ranks(), seed);
    // All policies start from the same map, planned for the popularity of the first tick.
    ExpertMap map =
        FullReplan.plan(
            ExpertMap.roundRobin(size.layers(), size.ranks(), size.slots(), EXPERTS),
            drift.popularity(0),
            drift.slowness(0));
    List<Chart.Point> points = new ArrayList<>();
    long fetches = 0;
    long nearDeadline = 0;
    double slowestMillis = 0;
    double largestMegabytes = 0;
    for (int tick = size.planIntervalTicks();
        tick < DriftingDay.TICKS_PER_DAY;
        tick += size.planIntervalTicks()) {
      double[][] reported = drift.reported(tick);
      long allocated = allocatedBytes();
      long started = System.nanoTime();
      ExpertMap next = named.policy().next(tick, map, reported, drift.slowness(tick - 1));
      slowestMillis = Math.max(slowestMillis, (System.nanoTime() - started) / NANOS_PER_MILLI);
      largestMegabytes = Math.max(largestMegabytes, (allocatedBytes() - allocated) / 1e6);
      long fetched = next.fetchesFrom(map);
      fetches += fetched;
      nearDeadline += DriftingDay.isDeadlineNear(tick) ? fetched : 0;
      map = next;
      double skew = ExpertPlanner.skew(map, drift.popularity(tick), drift.slowness(tick));
      points.add(new Chart.Point((double) tick / TICKS_PER_HOUR, skew));
    }
    double[] skews = points.stream().mapToDouble(Chart.Point::y).toArray();
    return new Day(
        named.name(),
        Arrays.stream(skews).average().orElseThrow(),
        Arrays.stream(skews).max().orElseThrow(),
        fetches,
        nearDeadline,
        slowestMillis,
        largestMegabytes,
        points);
  }

  private static long allocatedBytes() {
    return ((com.sun.management.ThreadMXBean)
            java.lang.management.ManagementFactory.getThreadMXBean())
        .getCurrentThreadAllocatedBytes();
  }

  private static BenchTable table(String title, List<Day> days) {
    return new BenchTable(
        "A day of drift, one rank slow for two hours: " + title,
        List.of(
            "policy",
            "mean skew",
            "worst skew",
            "experts fetched",
            "GB (45 MB each)",
            "of them near deadlines",
            "slowest plan ms",
            "allocated a plan MB"),
        days.stream().map(ExpertsBench::row).toList());
  }

  private static List<Object> row(Day day) {
    return List.of(
        day.name(),
        day.meanSkew(),
        day.worstSkew(),
        day.fetches(),
        day.fetches() * EXPERT_GIGABYTES,
        day.fetchesNearDeadline(),
        day.slowestPlanMillis(),
        day.largestPlanMegabytes());
  }

  private static BenchAim skewAim(String size, List<Day> days) {
    double ratio = days.get(3).meanSkew() / days.get(1).meanSkew();
    return aim(size + ": mean skew within 5% of always full", ratio, ratio <= 1.05);
  }

  private static BenchAim bytesAim(String size, List<Day> days) {
    double ratio = (double) days.get(3).fetches() / days.get(1).fetches();
    return aim(size + ": at most a tenth of always full's bytes", ratio, ratio <= 0.1);
  }

  private static BenchAim aim(String text, double measured, boolean met) {
    return new BenchAim(text, String.format(Locale.ROOT, "%.3f", measured), met);
  }
}
