package dev.ibishub.cli;

/** The exit codes of the program, as docs/OPERATIONS.md lists them. */
enum ExitCode {
  /** The command succeeded. */
  DONE(0),
  /** The request was refused: nothing was changed and nothing ran. */
  REFUSED(1),
  /** The command line is invalid. */
  USAGE(2),
  /**
   * The command may have taken effect; the history or the reply to a retry shows whether it did.
   */
  OUTCOME_UNKNOWN(3),
  /** The entry could not be reached, so nothing was changed. */
  UNREACHABLE(4);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  int number() {
    return number;
  }
}
