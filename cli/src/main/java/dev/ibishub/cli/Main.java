package dev.ibishub.cli;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/** Main class of the command-line program {@code ibishub}. */
public final class Main {
  private Main() {}

  /**
   * Runs the program and ends the process with the exit code that docs/OPERATIONS.md lists.
   *
   * @param arguments command-line arguments
   */
  public static void main(String[] arguments) {
    PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
    PrintStream err = new PrintStream(System.err, true, StandardCharsets.UTF_8);
    System.exit(new CommandLine(System.getenv(), out, err).run(arguments).number());
  }
}
