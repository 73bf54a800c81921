package dev.ibishub.runtime;

import java.io.IOException;
import java.nio.file.Path;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** The command line that entry and agent share: {@code --settings FILE}. */
public final class CommandLine {
  /** Exit status for a wrong command line or wrong settings. */
  public static final int USAGE = 2;

  /** The version that {@code --version} prints. */
  public static final String VERSION = "0.1.0";

  private CommandLine() {}

  /**
   * Reads the command line; ends the process for {@code --help}, {@code --version} and mistakes.
   *
   * @param program the program's name
   * @param purpose one sentence for the help
   * @param arguments the command line
   * @return the settings file
   */
  public static Path settingsFile(String program, String purpose, String[] arguments)
      throws IOException {
    OptionParser parser = new OptionParser();
    OptionSpec<String> settings =
        parser.accepts("settings", "the settings file, JSON with comments").withRequiredArg();
    parser.accepts("help", "prints this page");
    parser.accepts("version", "prints the version");
    OptionSet given = parse(parser, program, arguments);
    if (given.has("help")) {
      System.out.println(program + " --settings FILE\n" + purpose + "\n");
      parser.printHelpOn(System.out);
      System.exit(0);
    }
    if (given.has("version")) {
      System.out.println(program + " " + VERSION);
      System.exit(0);
    }
    if (!given.has(settings)) {
      System.err.println(program + ": --settings FILE is missing; see " + program + " --help");
      System.exit(USAGE);
    }
    return Path.of(given.valueOf(settings));
  }

  private static OptionSet parse(OptionParser parser, String program, String[] arguments) {
    try {
      return parser.parse(arguments);
    } catch (OptionException e) {
      System.err.println(program + ": " + e.getMessage() + "; see " + program + " --help");
      System.exit(USAGE);
      throw e;
    }
  }
}
