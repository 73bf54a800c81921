package dev.ibishub.agent;

import dev.ibishub.runtime.CommandLine;
import dev.ibishub.runtime.FatalErrors;
import dev.ibishub.runtime.LogSetup;
import dev.ibishub.runtime.ProcessSignals;
import dev.ibishub.runtime.Startup;
import dev.ibishub.settings.AgentSettings;
import dev.ibishub.settings.LogFormat;
import dev.ibishub.settings.SettingsException;
import java.io.IOException;
import java.nio.file.Path;

/** Entry point of the program {@code ibishub-agent}. */
public final class AgentMain {
  private AgentMain() {}

  /**
   * Runs the agent until the process receives a stop signal, then drains it.
   *
   * @param arguments see {@code ibishub-agent --help}
   */
  public static void main(String[] arguments) throws IOException {
    Path file =
        CommandLine.settingsFile(
            "ibishub-agent", "Queues and runs the requests of one target.", arguments);
    AgentSettings settings = readOrExit(file);
    LogSetup.configure(
        settings.logFormat() == LogFormat.JSON ? "json" : "key-value", settings.targetId());
    FatalErrors.exitOnError();
    Agent agent = Startup.startOrExit(() -> Agent.start(settings));
    ProcessSignals.onStop(
        () -> {
          agent.drain();
          System.exit(0);
        });
  }

  private static AgentSettings readOrExit(Path file) {
    try {
      return AgentSettings.read(file);
    } catch (SettingsException e) {
      System.err.println(e.getMessage());
      System.exit(CommandLine.USAGE);
      throw e;
    }
  }
}
