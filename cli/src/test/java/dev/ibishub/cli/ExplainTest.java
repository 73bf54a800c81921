package dev.ibishub.cli;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class ExplainTest {
  @TempDir private Path folder;
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private static String line(String second, String process, String event, String fields) {
    return """
        {"time":"2026-01-01T00:00:%sZ","level":"INFO","process":"%s","event":"%s"%s}
        """
        .formatted(second, process, event, fields);
  }

  private String log(String name, String... lines) throws IOException {
    return Files.writeString(folder.resolve(name), String.join("", lines)).toString();
  }

  private ExitCode run(String... arguments) {
    return new CommandLine(
            Map.of(), new PrintStream(out, true, UTF_8), new PrintStream(err, true, UTF_8))
        .run(arguments);
  }

  // One request was tried through two entries. Each has its own log and clock, and the second one
  // knew an older configuration. Guards against mixing up the order of the lines, or showing state
  // that a process did not yet know at its first line of the request.
  @Test
  void ordersLinesOfRequestAfterStateKnownToEachProcess() throws IOException {
    String first =
        log(
            "entry-1.log",
            line("01", "entry-1", "configuration.applied", ",\"version\":\"3\""),
            line("02", "entry-1", "configuration.applied", ",\"version\":\"4\""),
            line("03", "entry-1", "target.announced", ",\"target\":\"t-1\""),
            line("03", "entry-1", "target.announced", ",\"target\":\"t-2\""),
            line("05", "entry-1", "attempt.failed", ",\"request\":\"r\",\"target\":\"t-1\""),
            line("06", "entry-1", "configuration.applied", ",\"version\":\"5\""));
    String second =
        log(
            "entry-2.log",
            "not an event\n",
            line("01", "entry-2", "configuration.applied", ",\"version\":\"2\""),
            line("07", "entry-2", "request.refused", ",\"request\":\"r\",\"code\":\"1004\""));

    assertThat(run("explain", "r", "--log", second, "--log", first)).isEqualTo(ExitCode.DONE);
    assertThat(out.toString(UTF_8).lines())
        .containsExactly(
            "    believed  2026-01-01T00:00:01Z  entry-2  configuration.applied  version=2",
            "    believed  2026-01-01T00:00:02Z  entry-1  configuration.applied  version=4",
            "    believed  2026-01-01T00:00:03Z  entry-1  target.announced  target=t-1",
            "2026-01-01T00:00:05Z  entry-1  attempt.failed  target=t-1",
            "2026-01-01T00:00:07Z  entry-2  request.refused  code=1004");
    assertThat(err.toString(UTF_8)).contains("1 lines are no events");
  }

  @Test
  void refusesUnknownRequestAndMissingLogOption() throws IOException {
    String file = log("entry-1.log", line("01", "entry-1", "lead.taken", ""));

    assertThat(run("explain", "r", "--log", file)).isEqualTo(ExitCode.REFUSED);
    assertThat(run("explain", "r")).isEqualTo(ExitCode.USAGE);
  }
}
