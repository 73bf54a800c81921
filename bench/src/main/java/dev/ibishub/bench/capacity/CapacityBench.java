package dev.ibishub.bench.capacity;

import dev.ibishub.bench.Bench;
import dev.ibishub.bench.BenchReport;
import dev.ibishub.bench.BenchTable;
import dev.ibishub.bench.Chart;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Measures the slopes from which docs/CAPACITY.md is computed. */
public final class CapacityBench implements Bench {
  @Override
  public String name() {
    return "capacity";
  }

  @Override
  public BenchReport run(long seed) {
    List<Measure> measures =
        Stream.of(
                EntryMeasures.all(seed).stream(),
                AgentMeasures.all().stream(),
                MessageMeasures.all().stream())
            .flatMap(part -> part)
            .toList();
    return new BenchReport(
        List.of(
            new BenchTable(
                "Measured values and the line through them",
                List.of("what", "unit", "size counts", "measured", "base", "slope", "residual"),
                measures.stream().map(CapacityBench::row).toList())),
        List.of(chart(measures)),
        List.of());
  }

  private static List<Object> row(Measure measure) {
    LinearFit fit = measure.fit();
    return List.of(
        measure.name(),
        measure.unit(),
        measure.sizeName(),
        measure.points().stream().map(CapacityBench::label).collect(Collectors.joining(", ")),
        fit.base(),
        String.format(Locale.ROOT, "%.4g %s", fit.perUnit(), measure.growth().label()),
        String.format(Locale.ROOT, "%.0f %%", 100 * fit.residual()));
  }

  private static String label(LinearFit.Point point) {
    return String.format(Locale.ROOT, "%.0f: %.4g", point.size(), point.value());
  }

  private static Chart chart(List<Measure> measures) {
    return new Chart(
        "Processor time of a decision",
        "size",
        "microseconds",
        measures.stream()
            .filter(measure -> measure.growth() == Measure.Growth.LOGARITHMIC)
            .filter(measure -> measure.unit().equals("us"))
            .map(CapacityBench::line)
            .toList());
  }

  private static Chart.Line line(Measure measure) {
    return new Chart.Line(
        measure.name(),
        measure.points().stream()
            .map(point -> new Chart.Point(point.size(), point.value()))
            .toList());
  }
}
