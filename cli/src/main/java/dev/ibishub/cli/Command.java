package dev.ibishub.cli;

import java.util.function.Consumer;
import joptsimple.OptionParser;

/**
 * One subcommand.
 *
 * @param name as on the command line
 * @param summary one line for the help
 * @param options declares its options
 * @param action does it
 */
record Command(String name, String summary, Consumer<OptionParser> options, Action action) {
  /** What a subcommand does. */
  @FunctionalInterface
  interface Action {
    /** Does it and returns how it ended; may end by {@link CommandException} too. */
    ExitCode run(Invocation invocation);
  }
}
