package dev.ibishub.cli;

import java.util.function.Consumer;
import joptsimple.OptionParser;

/**
 * A subcommand of the program.
 *
 * @param name name on the command line
 * @param summary one-line description for the help
 * @param options adds the subcommand's options to a parser
 * @param action runs the subcommand
 */
record Command(String name, String summary, Consumer<OptionParser> options, Action action) {
  /** The implementation of a subcommand. */
  @FunctionalInterface
  interface Action {
    /**
     * Runs the subcommand.
     *
     * @return the exit code
     * @throws CommandException to exit with a message on standard error
     */
    ExitCode run(Invocation invocation);
  }
}
