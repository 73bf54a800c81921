package dev.ibishub.cli;

/** The exit codes of the program, as docs/OPERATIONS.md lists them. */
enum ExitCode {
  DONE(0),
  /** Refused: nothing was changed and nothing ran. */
  REFUSED(1),
  /** The command line is wrong. */
  USAGE(2),
  /** It may have taken effect; the history or the answer of another try will tell. */
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
