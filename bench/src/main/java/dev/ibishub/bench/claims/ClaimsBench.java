package dev.ibishub.bench.claims;

import dev.ibishub.agent.ClaimWriterOptions;
import dev.ibishub.bench.Bench;
import dev.ibishub.bench.BenchAim;
import dev.ibishub.bench.BenchReport;
import dev.ibishub.bench.BenchTable;
import dev.ibishub.bench.Chart;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/**
 * Measures the latency that a claim on the log adds to a call, with and without grouping of claims
 * into appends.
 */
public final class ClaimsBench implements Bench {
  private static final List<Double> CALLS_PER_SECOND = List.of(10.0, 50.0, 200.0, 500.0, 2_000.0);
  private static final String GROUPED = "claims share appends";
  private static final String SINGLE = "one claim an append";

  @Override
  public String name() {
    return "claims";
  }

  @Override
  public BenchReport run(long seed) {
    List<Row> rows =
        Stream.of(GROUPED, SINGLE)
            .flatMap(mode -> CALLS_PER_SECOND.stream().map(calls -> measure(mode, calls, seed)))
            .toList();
    return new BenchReport(List.of(table(rows)), List.of(chart(rows)), List.of(aim(rows)));
  }

  private static Row measure(String mode, double calls, long seed) {
    ClaimWriterOptions options =
        mode.equals(GROUPED) ? ClaimWriterOptions.defaults() : ClaimRun.ungrouped();
    return new Row(mode, calls, ClaimRun.run(options, calls, seed));
  }

  private static BenchTable table(List<Row> rows) {
    String title =
        String.format(
            Locale.ROOT,
            "Claims of %d agents on a log that takes %.0f appends a second",
            ClaimRun.AGENTS,
            LogModel.APPENDS_PER_SECOND);
    return new BenchTable(
        title,
        List.of(
            "way", "calls/s", "appends/s", "claims/append", "added p50 ms", "p99 ms", "refused"),
        rows.stream().map(Row::cells).toList());
  }

  private static Chart chart(List<Row> rows) {
    return new Chart(
        "Appends a second by calls a second",
        "calls a second",
        "appends a second",
        Stream.of(GROUPED, SINGLE).map(mode -> new Chart.Line(mode, points(mode, rows))).toList());
  }

  private static List<Chart.Point> points(String mode, List<Row> rows) {
    return rows.stream()
        .filter(row -> row.mode().equals(mode))
        .map(row -> new Chart.Point(row.calls(), row.result().appendsPerSecond()))
        .toList();
  }

  private static BenchAim aim(List<Row> rows) {
    double most =
        rows.stream()
            .filter(row -> row.mode().equals(GROUPED))
            .mapToDouble(row -> row.result().appendsPerSecond())
            .max()
            .orElseThrow();
    return new BenchAim(
        "shared appends stay within half of what the log takes",
        String.format(Locale.ROOT, "%.0f appends a second at most", most),
        most <= LogModel.APPENDS_PER_SECOND / 2);
  }

  private record Row(String mode, double calls, ClaimRun.Result result) {
    List<Object> cells() {
      return List.of(
          mode,
          calls,
          result.appendsPerSecond(),
          result.claimsPerAppend(),
          result.p50Millis(),
          result.p99Millis(),
          result.refusedShare());
    }
  }
}
