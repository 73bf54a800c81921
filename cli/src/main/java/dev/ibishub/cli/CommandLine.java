package dev.ibishub.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Finds the subcommand that a command line names, parses its options and runs it. */
final class CommandLine {
  static final List<Command> COMMANDS =
      Stream.of(
              ConfigurationCommands.all(),
              FleetCommands.all(),
              CallerCommands.all(),
              LogCommands.all())
          .flatMap(List::stream)
          .toList();

  private final Map<String, String> environment;
  private final PrintStream out;
  private final PrintStream err;

  CommandLine(Map<String, String> environment, PrintStream out, PrintStream err) {
    this.environment = environment;
    this.out = out;
    this.err = err;
  }

  /** Runs a command line and returns its exit code; writes mistakes to the error stream. */
  ExitCode run(String... arguments) {
    if (arguments.length == 0) {
      printUsage(err);
      return ExitCode.USAGE;
    }
    if (arguments[0].equals("--help") || arguments[0].equals("help")) {
      printUsage(out);
      return ExitCode.DONE;
    }
    if (arguments[0].equals("--version")) {
      out.println(version());
      return ExitCode.DONE;
    }
    Optional<Command> command =
        COMMANDS.stream().filter(known -> known.name().equals(arguments[0])).findFirst();
    if (command.isEmpty()) {
      err.println("ibishub: no command " + arguments[0] + "; see ibishub --help");
      return ExitCode.USAGE;
    }
    return run(command.get(), Arrays.copyOfRange(arguments, 1, arguments.length));
  }

  private ExitCode run(Command command, String[] arguments) {
    OptionParser parser = parser(command);
    try {
      OptionSet options = parser.parse(arguments);
      if (options.has("help")) {
        printHelp(command, parser);
        return ExitCode.DONE;
      }
      if (options.has("version")) {
        out.println(version());
        return ExitCode.DONE;
      }
      requireKnownOutputFormat(options);
      return command.action().run(new Invocation(options, environment, out, err));
    } catch (OptionException e) {
      err.println("ibishub " + command.name() + ": " + e.getMessage() + "; see --help");
      return ExitCode.USAGE;
    } catch (CommandException e) {
      err.println("ibishub " + command.name() + ": " + e.getMessage());
      return e.code();
    }
  }

  private OptionParser parser(Command command) {
    OptionParser parser = new OptionParser();
    parser.accepts("help", "show this help").forHelp();
    parser.accepts("version", "show the version").forHelp();
    parser.accepts("output", "json or table").withRequiredArg().defaultsTo("table");
    parser
        .accepts("url", "URL of an entry; or IBISHUB_URL")
        .withRequiredArg()
        .defaultsTo(environment.getOrDefault("IBISHUB_URL", "http://127.0.0.1:8080"));
    parser
        .accepts("token-file", "file with the operator's token; or IBISHUB_TOKEN")
        .withRequiredArg();
    parser
        .accepts("timeout-seconds", "the longest to wait for an answer")
        .withRequiredArg()
        .defaultsTo("60");
    command.options().accept(parser);
    return parser;
  }

  private static void requireKnownOutputFormat(OptionSet options) {
    if (!List.of("json", "table").contains(String.valueOf(options.valueOf("output")))) {
      throw new CommandException(ExitCode.USAGE, "--output takes json or table");
    }
  }

  private void printUsage(PrintStream stream) {
    stream.println("usage: ibishub COMMAND [options]; ibishub COMMAND --help shows the options");
    COMMANDS.forEach(command -> stream.printf("  %-10s %s%n", command.name(), command.summary()));
  }

  private void printHelp(Command command, OptionParser parser) {
    out.println("ibishub " + command.name() + ": " + command.summary());
    try {
      parser.printHelpOn(out);
    } catch (IOException e) {
      throw new UncheckedIOException("writing the help failed", e);
    }
  }

  private static String version() {
    String version = CommandLine.class.getPackage().getImplementationVersion();
    return "ibishub " + (version == null ? "(not packaged)" : version);
  }
}
