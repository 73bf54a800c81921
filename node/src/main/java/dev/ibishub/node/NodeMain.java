package dev.ibishub.node;

import dev.ibishub.platform.SettingsLocation;
import dev.ibishub.runtime.CommandLine;
import dev.ibishub.runtime.FatalErrors;
import dev.ibishub.runtime.LogSetup;
import dev.ibishub.runtime.Startup;
import dev.ibishub.settings.NodeSettings;
import dev.ibishub.settings.SettingsException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Executors;

/** Main class of {@code ibishub-node}, which runs an entry or an agent on the users' platform. */
public final class NodeMain {
  private NodeMain() {}

  /**
   * Runs an agent if the settings have an engine's address, else an entry, until a stop signal.
   *
   * @param arguments see {@code ibishub-node --help}
   */
  public static void main(String[] arguments) throws IOException {
    // The platform starts processes without arguments and passes the file in the environment.
    Optional<Path> fromEnvironment =
        arguments.length == 0 ? SettingsLocation.find(System.getenv()) : Optional.empty();
    Path file = fromEnvironment.isPresent() ? fromEnvironment.get() : fileOnCommandLine(arguments);
    NodeSettings settings = readOrExit(file);
    LogSetup.configureQueued(settings.processId());
    FatalErrors.exitOnError();
    Startup.startOrExit(Executors.callable(() -> start(settings, file)));
  }

  private static void start(NodeSettings settings, Path file) {
    if (settings.engineAddress().isPresent()) {
      AgentNode.start(settings, file);
    } else {
      EntryNode.start(settings, file);
    }
  }

  private static Path fileOnCommandLine(String[] arguments) throws IOException {
    return CommandLine.settingsFile(
        "ibishub-node", "An entry, or an agent beside a target, on the platform.", arguments);
  }

  private static NodeSettings readOrExit(Path file) {
    try {
      return NodeSettings.read(file);
    } catch (SettingsException e) {
      System.err.println(e.getMessage());
      System.exit(CommandLine.USAGE);
      throw e;
    }
  }
}
