package dev.ibishub.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ReportWriterTest {
  private static final BenchReport REPORT =
      new BenchReport(
          List.of(
              new BenchTable(
                  "Waits, ms",
                  List.of("policy", "p99"),
                  List.of(List.of("ours", 1.234), List.of("random", 250.0)))),
          List.of(
              new Chart(
                  "Waits",
                  "load",
                  "ms",
                  List.of(
                      new Chart.Line(
                          "ours", List.of(new Chart.Point(0, 1), new Chart.Point(1, 2)))))),
          List.of(new BenchAim("p99 under 1 ms", "1.23 ms", false)));

  @Test
  void printsAlignedTableAndMissedAim() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    ReportWriter.print(REPORT, new PrintStream(bytes, true, StandardCharsets.UTF_8));

    assertThat(bytes.toString(StandardCharsets.UTF_8))
        .contains("| policy | p99  |", "| ours   | 1.23 |", "| random | 250  |")
        .contains("aim MISSED: p99 under 1 ms (measured 1.23 ms)");
  }

  @Test
  void writesJsonAndPicture(@TempDir Path folder) throws Exception {
    ReportWriter.write("waits", 7, REPORT, folder);

    assertThat(folder.resolve("waits.json")).content().contains("\"seed\" : 7");
    assertThat(folder.resolve("waits.png")).isNotEmptyFile();
  }
}
