package dev.ibishub.bench.experts;

import dev.ibishub.bench.Bench;
import dev.ibishub.bench.BenchAim;
import dev.ibishub.bench.BenchReport;
import dev.ibishub.bench.BenchTable;
import dev.ibishub.core.ranks.GroupMap;
import dev.ibishub.core.ranks.MapCostModel;
import dev.ibishub.core.ranks.PlacementLimits;
import dev.ibishub.core.ranks.PlacementPlanner;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;

/**
 * Measures how even a group's map becomes, with how many fetches and at what planning cost,
 * compared with a plan from scratch. It starts from the map that assigns experts in turn; the
 * demand is constant.
 */
public final class PlacementBench implements Bench {
  private static final int MAX_MAPS = 12;
  private static final int WARM_UPS = 3;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final double BYTES_PER_MEGABYTE = 1e6;
  private static final double EVEN_SKEW = 1.1;
  private static final double NEARLY_EVEN_SKEW = 1.2;
  private static final double TARGET_SKEW = 1.05;
  private static final double MAX_PLAN_MILLIS = 20;

  /** Exponent of the power law of popularity; a few experts are hotter than the law says. */
  private static final double POPULARITY_EXPONENT = 0.44;

  private static final int EXPERTS_PER_HOT_EXPERT = 24;
  private static final double HOT_FACTOR = 4;

  private record Size(
      String name, int ranks, int sets, int experts, int places, int spare, double fetchMillis) {
    double[] slowness() {
      return IntStream.range(0, ranks).mapToDouble(rank -> 1).toArray();
    }

    GroupMap roundRobin() {
      return GroupMap.roundRobin(ranks, sets, experts);
    }
  }

  private record Series(
      String policy, List<Double> skews, int fetches, double slowestMillis, double megabytes) {
    String mapsTo(double skew) {
      return IntStream.range(0, skews.size())
          .filter(map -> skews.get(map) <= skew)
          .mapToObj(Integer::toString)
          .findFirst()
          .orElse("-");
    }

    double skewAfter(int maps) {
      return skews.get(Math.min(maps, skews.size() - 1));
    }
  }

  @Override
  public String name() {
    return "placement";
  }

  @Override
  public BenchReport run(long seed) {
    List<Size> sizes =
        List.of(
            new Size("12 ranks, 3 sets of 96, 11 places", 12, 3, 96, 11, 4, 400),
            new Size("24 ranks, 16 sets of 96, 5 places", 24, 16, 96, 5, 2, 76),
            new Size("72 ranks, 12 sets of 144, 3 places", 72, 12, 144, 3, 2, 30),
            new Size("192 ranks, 10 sets of 384, 3 places", 192, 10, 384, 3, 2, 7.6),
            new Size("256 ranks, 16 sets of 512, 3 places", 256, 16, 512, 3, 2, 7.6));
    List<BenchTable> tables = new ArrayList<>();
    List<BenchAim> aims = new ArrayList<>();
    for (Size size : sizes) {
      double[][] demand = demand(size, new Random(seed));
      Series balanced =
          warmSeries(
              "from nothing", size, demand, map -> BalancedPlan.plan(map, demand, size.places()));
      Series planned = warmSeries("ibishub", size, demand, planner(size, demand));
      tables.add(table(size.name(), List.of(balanced, planned)));
      aims.addAll(aims(size, balanced, planned));
    }
    return new BenchReport(tables, List.of(), aims);
  }

  private static double[][] demand(Size size, Random random) {
    return IntStream.range(0, size.sets())
        .mapToObj(
            set ->
                IntStream.range(0, size.experts())
                    .mapToDouble(
                        expert ->
                            Math.pow(1 + random.nextInt(size.experts()), -POPULARITY_EXPONENT)
                                * (random.nextInt(EXPERTS_PER_HOT_EXPERT) == 0 ? HOT_FACTOR : 1))
                    .toArray())
        .toArray(double[][]::new);
  }

  private static UnaryOperator<GroupMap> planner(Size size, double[][] demand) {
    int perRank = size.sets() * size.spare();
    PlacementLimits limits = new PlacementLimits(size.places(), size.spare(), perRank, TARGET_SKEW);
    MapCostModel costModel =
        new MapCostModel(skew -> 40 + 60 * skew, size.fetchMillis(), 150, 0.15, 4_000);
    return map ->
        PlacementPlanner.plan(map, demand, size.slowness(), limits, costModel)
            .map(PlacementPlanner.Plan::map)
            .orElse(map);
  }

  /** Returns the last of several runs, so that classes are loaded and loops compiled. */
  private static Series warmSeries(
      String policy, Size size, double[][] demand, UnaryOperator<GroupMap> planner) {
    return IntStream.rangeClosed(0, WARM_UPS)
        .mapToObj(run -> series(policy, size, demand, planner))
        .reduce((before, after) -> after)
        .orElseThrow();
  }

  private static Series series(
      String policy, Size size, double[][] demand, UnaryOperator<GroupMap> planner) {
    GroupMap map = size.roundRobin();
    List<Double> skews = new ArrayList<>(List.of(map.skew(demand, size.slowness())));
    int fetches = 0;
    double slowestMillis = 0;
    double largestMegabytes = 0;
    for (int number = 0; number < MAX_MAPS; number++) {
      long allocated = allocatedBytes();
      long started = System.nanoTime();
      GroupMap next = planner.apply(map);
      slowestMillis = Math.max(slowestMillis, (System.nanoTime() - started) / NANOS_PER_MILLI);
      largestMegabytes =
          Math.max(largestMegabytes, (allocatedBytes() - allocated) / BYTES_PER_MEGABYTE);
      fetches += fetches(map, next);
      map = next;
      skews.add(map.skew(demand, size.slowness()));
    }
    return new Series(policy, skews, fetches, slowestMillis, largestMegabytes);
  }

  private static int fetches(GroupMap from, GroupMap to) {
    return IntStream.range(0, from.ranks()).map(rank -> from.fetches(to, rank)).sum();
  }

  private static long allocatedBytes() {
    return ((com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean())
        .getCurrentThreadAllocatedBytes();
  }

  private static BenchTable table(String title, List<Series> rows) {
    return new BenchTable(
        title,
        List.of(
            "planner",
            "skew at first",
            "after 1 map",
            "2",
            "3",
            "at last",
            "maps to 1.2",
            "maps to 1.1",
            "fetches",
            "slowest plan ms",
            "allocated MB"),
        rows.stream().map(PlacementBench::row).toList());
  }

  private static List<Object> row(Series series) {
    return List.of(
        series.policy(),
        series.skewAfter(0),
        series.skewAfter(1),
        series.skewAfter(2),
        series.skewAfter(3),
        series.skewAfter(MAX_MAPS),
        series.mapsTo(NEARLY_EVEN_SKEW),
        series.mapsTo(EVEN_SKEW),
        series.fetches(),
        series.slowestMillis(),
        series.megabytes());
  }

  private static List<BenchAim> aims(Size size, Series balanced, Series planned) {
    double excessSkew = planned.skewAfter(MAX_MAPS) - balanced.skewAfter(MAX_MAPS);
    return List.of(
        aim(size.name() + ": within 0.05 of the plan from nothing", excessSkew, excessSkew <= 0.05),
        aim(
            size.name() + ": a plan in " + MAX_PLAN_MILLIS + " ms",
            planned.slowestMillis(),
            planned.slowestMillis() <= MAX_PLAN_MILLIS));
  }

  private static BenchAim aim(String text, double measured, boolean isMet) {
    return new BenchAim(text, String.format(Locale.ROOT, "%.3f", measured), isMet);
  }
}
