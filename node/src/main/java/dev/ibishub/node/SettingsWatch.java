package dev.ibishub.node;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.runtime.StopSignals;
import dev.ibishub.settings.NodeSettings;
import dev.ibishub.settings.SettingsException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Reads the settings again on SIGHUP and when the file has changed. Wrong ones are refused with a
 * log line and what was in force stays; nothing in flight is touched.
 */
final class SettingsWatch {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final long LOOK_SECONDS = 1;

  private final Path file;
  private NodeSettings inForce;
  private FileTime changedAt;

  SettingsWatch(Path file, NodeSettings settings) {
    this.file = file;
    this.inForce = settings;
  }

  void start(ScheduledExecutorService executor) {
    changedAt = lastChange();
    StopSignals.onReload(() -> executor.execute(this::reload));
    executor.scheduleWithFixedDelay(
        this::reloadIfChanged, LOOK_SECONDS, LOOK_SECONDS, TimeUnit.SECONDS);
  }

  private void reloadIfChanged() {
    FileTime now = lastChange();
    if (!now.equals(changedAt)) {
      changedAt = now;
      reload();
    }
  }

  private void reload() {
    try {
      NodeSettings read = NodeSettings.read(file);
      logger.atInfo().log(
          "%s", LogEvent.of("settings.read").with("changed", !read.equals(inForce)));
      inForce = read;
    } catch (SettingsException | UncheckedIOException e) {
      logger.atWarning().log("%s", LogEvent.of("settings.refused").with("cause", e.getMessage()));
    }
  }

  private FileTime lastChange() {
    try {
      return Files.getLastModifiedTime(file);
    } catch (IOException e) {
      logger.atWarning().log("%s", LogEvent.of("settings.unreadable").with("cause", e));
      return changedAt;
    }
  }
}
