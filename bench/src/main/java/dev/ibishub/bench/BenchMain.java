package dev.ibishub.bench;

import dev.ibishub.bench.capacity.CapacityBench;
import dev.ibishub.bench.claims.ClaimsBench;
import dev.ibishub.bench.crashes.CrashesBench;
import dev.ibishub.bench.experts.ExpertsBench;
import dev.ibishub.bench.experts.PlacementBench;
import dev.ibishub.bench.fairness.FairnessBench;
import dev.ibishub.bench.limits.LimitsBench;
import dev.ibishub.bench.membership.MembershipBench;
import dev.ibishub.bench.overload.OverloadBench;
import dev.ibishub.bench.routing.RoutingBench;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Command line of {@code bin/bench}: runs one measurement and writes its report. */
public final class BenchMain {
  private static final int USAGE_EXIT_STATUS = 2;
  private static final List<Bench> BENCHES =
      List.of(
          new ClaimsBench(),
          new FairnessBench(),
          new RoutingBench(),
          new OverloadBench(),
          new MembershipBench(),
          new ExpertsBench(),
          new PlacementBench(),
          new CrashesBench(),
          new LimitsBench(),
          new CapacityBench());

  private BenchMain() {}

  /**
   * Runs the measurement that the command line names.
   *
   * @param arguments the name of the measurement and its options
   * @throws IOException when a report cannot be written
   */
  public static void main(String[] arguments) throws IOException {
    System.setProperty("java.awt.headless", "true");
    OptionParser parser = new OptionParser();
    OptionSpec<Long> seed =
        parser
            .accepts("seed", "seed of all randomness")
            .withRequiredArg()
            .ofType(Long.class)
            .defaultsTo(1L);
    OptionSpec<String> folder =
        parser
            .accepts("folder", "where the JSON and the picture go")
            .withRequiredArg()
            .defaultsTo("target/bench");
    OptionSpec<String> names = parser.nonOptions("name of the bench: " + names());
    try {
      OptionSet options = parser.parse(arguments);
      Optional<Bench> bench = find(options.valuesOf(names));
      if (bench.isEmpty()) {
        System.err.println("usage: bin/bench NAME [--seed N] [--folder PATH]; NAME: " + names());
        System.exit(USAGE_EXIT_STATUS);
      }
      run(bench.orElseThrow(), options.valueOf(seed), Path.of(options.valueOf(folder)));
    } catch (OptionException exception) {
      System.err.println(exception.getMessage());
      System.exit(USAGE_EXIT_STATUS);
    }
  }

  private static void run(Bench bench, long seed, Path folder) throws IOException {
    System.out.printf("bench %s, seed %d%n%n", bench.name(), seed);
    BenchReport report = bench.run(seed);
    ReportWriter.print(report, System.out);
    ReportWriter.write(bench.name(), seed, report, folder);
  }

  private static Optional<Bench> find(List<String> names) {
    return BENCHES.stream().filter(bench -> names.equals(List.of(bench.name()))).findFirst();
  }

  private static String names() {
    return BENCHES.stream().map(Bench::name).collect(Collectors.joining(", "));
  }
}
