package dev.ibishub.cli;

/** Ends a command with an exit code and a one-line message for the user. */
final class CommandException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ExitCode code;

  CommandException(ExitCode code, String message) {
    super(message);
    this.code = code;
  }

  ExitCode code() {
    return code;
  }
}
