package dev.ibishub.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import javax.imageio.ImageIO;

/** Writes a report as text, as JSON and as an image. */
final class ReportWriter {
  private static final ObjectMapper JSON =
      new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

  private ReportWriter() {}

  static void print(BenchReport report, PrintStream out) {
    report.tables().forEach(table -> out.println(TextTable.of(table)));
    report
        .aims()
        .forEach(
            aim ->
                out.printf(
                    "aim %s: %s (measured %s)%n",
                    aim.met() ? "met" : "MISSED", aim.text(), aim.measured()));
  }

  static void write(String name, long seed, BenchReport report, Path folder) throws IOException {
    Files.createDirectories(folder);
    JSON.writeValue(
        folder.resolve(name + ".json").toFile(),
        Map.of("bench", name, "seed", seed, "report", report));
    if (!report.charts().isEmpty()) {
      ImageIO.write(
          ChartPainter.paint(report.charts()), "png", folder.resolve(name + ".png").toFile());
    }
  }
}
