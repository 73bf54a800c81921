package dev.ibishub.standins;

import dev.ibishub.outbound.OutboundJson;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * The program behind {@code bin/bench overhead}: sends the same load directly to the engines and
 * through entry and agent, and prints the latency that entry and agent add.
 *
 * <p>It takes the options of {@code ibishub-load}; {@code --direct-engines} names the engines
 * behind the entries.
 */
public final class OverheadMain {
  private static final long WARM_UP_SECONDS = 10;
  private static final int EXIT_BREACH = 1;

  private OverheadMain() {}

  /** The reports of the direct load and of the load through entry and agent. */
  record Overhead(LoadReport direct, LoadReport through) {}

  /**
   * Warms up both paths, then measures both.
   *
   * @throws IOException when the report cannot be written
   */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    OptionParser parser = LoadOptions.parser();
    OptionSet parsed = parser.parse(arguments);
    LoadOptions options = LoadOptions.of(parsed);
    // A JVM runs interpreted code in its first seconds: this tool as well as entry, agent and
    // engine.
    runBoth(options, WARM_UP_SECONDS, options.seed());
    Overhead overhead = runBoth(options, options.durationSeconds(), options.seed() + 1);
    print(overhead);
    if (options.reportFile().isPresent()) {
      write(options.reportFile().get(), overhead);
    }
    int breaches = overhead.direct().breachCount() + overhead.through().breachCount();
    System.exit(breaches > 0 ? EXIT_BREACH : 0);
  }

  private static Overhead runBoth(LoadOptions options, long seconds, long seed)
      throws IOException, InterruptedException {
    LoadReport direct = LoadMain.run(options.withRun(seconds, seed, options.directEngines()));
    LoadReport through = LoadMain.run(options.withRun(seconds, seed, List.of()));
    return new Overhead(direct, through);
  }

  private static void print(Overhead overhead) {
    System.out.printf("%-12s %-10s %9s %9s %9s  (ms)%n", "", "", "p50", "p95", "p99");
    print("first token", overhead.direct().firstToken(), overhead.through().firstToken());
    print("token gap", overhead.direct().tokenGap(), overhead.through().tokenGap());
    print("total", overhead.direct().total(), overhead.through().total());
    System.out.println("direct:  " + overhead.direct().text());
    System.out.println("through: " + overhead.through().text());
  }

  private static void print(String name, LoadRecorder.Times direct, LoadRecorder.Times through) {
    row(name, "direct", direct.p50(), direct.p95(), direct.p99());
    row(name, "through", through.p50(), through.p95(), through.p99());
    row(
        name,
        "added",
        through.p50() - direct.p50(),
        through.p95() - direct.p95(),
        through.p99() - direct.p99());
  }

  private static void row(String name, String path, double p50, double p95, double p99) {
    System.out.printf("%-12s %-10s %9.2f %9.2f %9.2f%n", name, path, p50, p95, p99);
  }

  private static void write(Path file, Overhead overhead) throws IOException {
    Files.createDirectories(file.toAbsolutePath().getParent());
    Files.write(file, OutboundJson.write(overhead));
  }
}
