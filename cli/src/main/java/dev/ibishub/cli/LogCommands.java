package dev.ibishub.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/** The subcommands that read the processes' logs. */
final class LogCommands {
  private LogCommands() {}

  static List<Command> all() {
    return List.of(
        new Command(
            "explain",
            "ID: the lines of one request from several logs, with what each process believed",
            parser ->
                parser
                    .accepts("log", "a process's log in JSON; may be given again")
                    .withRequiredArg(),
            LogCommands::explain));
  }

  private static ExitCode explain(Invocation invocation) {
    String request = invocation.argument("request's id");
    List<String> files =
        invocation.options().valuesOf("log").stream().map(String::valueOf).toList();
    if (files.isEmpty()) {
      throw new CommandException(ExitCode.USAGE, "--log is needed");
    }
    List<String> rawLines =
        files.stream().flatMap(file -> invocation.readFile(Path.of(file)).lines()).toList();
    List<LogLine> lines = rawLines.stream().map(LogLine::read).flatMap(Optional::stream).toList();
    if (lines.size() < rawLines.size()) {
      invocation.err().printf("ibishub: %d lines are no events%n", rawLines.size() - lines.size());
    }
    Optional<RequestTimeline> timeline = RequestTimeline.of(request, lines);
    if (timeline.isEmpty()) {
      invocation.err().println("ibishub: no line names the request " + request);
      return ExitCode.REFUSED;
    }
    invocation.printText(timeline.get().toJson(), timeline.get().toText());
    return ExitCode.DONE;
  }
}
