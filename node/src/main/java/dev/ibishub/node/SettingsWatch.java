package dev.ibishub.node;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.runtime.ProcessSignals;
import dev.ibishub.settings.NodeSettings;
import dev.ibishub.settings.SettingsException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Reloads the settings on SIGHUP and when the file changes. Invalid settings are rejected with a
 * log line, and the previous ones stay in force. Valid settings apply at once, except names and
 * addresses, which change only after a restart; a log line lists those that differ. Requests in
 * flight aren't affected.
 */
final class SettingsWatch {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Interval between checks of the file's modification time, seconds. */
  private static final long CHECK_INTERVAL_SECONDS = 1;

  private final Path file;
  private final Consumer<NodeSettings> apply;
  private NodeSettings inForce;
  private FileTime lastModified;

  /**
   * Creates a watch, which does nothing until it is started.
   *
   * @param file file with the settings
   * @param settings the settings in force
   * @param apply called with changed settings, which keep the names and addresses in force
   */
  SettingsWatch(Path file, NodeSettings settings, Consumer<NodeSettings> apply) {
    this.file = file;
    this.inForce = settings;
    this.apply = apply;
  }

  /** Starts to watch the file and the signal; reloads run on the executor. */
  void start(ScheduledExecutorService executor) {
    lastModified = readLastModified();
    ProcessSignals.onReload(() -> executor.execute(this::reload));
    executor.scheduleWithFixedDelay(
        this::reloadIfChanged, CHECK_INTERVAL_SECONDS, CHECK_INTERVAL_SECONDS, TimeUnit.SECONDS);
  }

  private void reloadIfChanged() {
    FileTime now = readLastModified();
    if (!now.equals(lastModified)) {
      lastModified = now;
      reload();
    }
  }

  private void reload() {
    try {
      NodeSettings read = NodeSettings.read(file);
      List<String> fixed = read.changedFixedKeys(inForce);
      NodeSettings next = read.withFixedKeysOf(inForce);
      logger.atInfo().log(
          "%s",
          LogEvent.of("settings.read")
              .with("changed", !next.equals(inForce))
              .with("need_restart", fixed));
      if (!next.equals(inForce)) {
        inForce = next;
        apply.accept(next);
      }
    } catch (SettingsException | UncheckedIOException e) {
      logger.atWarning().log("%s", LogEvent.of("settings.refused").with("cause", e.getMessage()));
    }
  }

  private FileTime readLastModified() {
    try {
      return Files.getLastModifiedTime(file);
    } catch (IOException e) {
      logger.atWarning().log("%s", LogEvent.of("settings.unreadable").with("cause", e));
      return lastModified;
    }
  }
}
