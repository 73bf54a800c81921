package dev.ibishub.entry;

import dev.ibishub.runtime.CommandLine;
import dev.ibishub.runtime.FatalErrors;
import dev.ibishub.runtime.LogSetup;
import dev.ibishub.runtime.ProcessSignals;
import dev.ibishub.runtime.Startup;
import dev.ibishub.settings.EntrySettings;
import dev.ibishub.settings.LogFormat;
import dev.ibishub.settings.SettingsException;
import java.io.IOException;
import java.nio.file.Path;

/** Main class of {@code ibishub-entry}. */
public final class EntryMain {
  private EntryMain() {}

  /**
   * Runs the entry until a stop signal, then drains it.
   *
   * @param arguments see {@code ibishub-entry --help}
   */
  public static void main(String[] arguments) throws IOException {
    Path file =
        CommandLine.settingsFile("ibishub-entry", "Faces callers and operators.", arguments);
    EntrySettings settings = readOrExit(file);
    LogSetup.configure(
        settings.logFormat() == LogFormat.JSON ? "json" : "key-value", settings.processId());
    FatalErrors.exitOnError();
    Entry entry = Startup.startOrExit(() -> Entry.start(settings));
    ProcessSignals.onStop(
        () -> {
          entry.drain();
          System.exit(0);
        });
  }

  private static EntrySettings readOrExit(Path file) {
    try {
      return EntrySettings.read(file);
    } catch (SettingsException e) {
      System.err.println(e.getMessage());
      System.exit(CommandLine.USAGE);
      throw e;
    }
  }
}
