package dev.ibishub.runtime;

import java.io.IOException;
import java.nio.file.Path;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Parses the command line that the server processes share: {@code --settings FILE}. */
public final class CommandLine {
  /** Exit status for an invalid command line or invalid settings. */
  public static final int USAGE = 2;

  /** Version that {@code --version} prints. */
  public static final String VERSION = "0.1.0";

  private CommandLine() {}

  /**
   * Returns the settings file that the command line names. Exits the process after {@code --help}
   * and {@code --version}, and with {@link #USAGE} when the command line is invalid.
   *
   * @param program name of the program, for messages
   * @param purpose one sentence that describes the program in the help
   * @param arguments command-line arguments
   * @return path of the settings file; not checked to exist
   */
  public static Path settingsFile(String program, String purpose, String[] arguments)
      throws IOException {
    OptionParser parser = new OptionParser();
    OptionSpec<String> settingsOption =
        parser.accepts("settings", "the settings file, JSON with comments").withRequiredArg();
    parser.accepts("help", "prints this page");
    parser.accepts("version", "prints the version");
    OptionSet options = parse(parser, program, arguments);
    if (options.has("help")) {
      System.out.println(program + " --settings FILE\n" + purpose + "\n");
      parser.printHelpOn(System.out);
      System.exit(0);
    }
    if (options.has("version")) {
      System.out.println(program + " " + VERSION);
      System.exit(0);
    }
    if (!options.has(settingsOption)) {
      System.err.println(program + ": --settings FILE is missing; see " + program + " --help");
      System.exit(USAGE);
    }
    return Path.of(options.valueOf(settingsOption));
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
