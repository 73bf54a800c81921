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
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Reads the settings again on SIGHUP and when the file has changed. Wrong ones are refused with a
 * log line and what was in force stays. Of right ones the process takes over at once what it can;
 * names and addresses stay as they are until it is started again, and a log line says which differ.
 * Nothing in flight is touched.
 */
final class SettingsWatch {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final long LOOK_SECONDS = 1;

  private final Path file;
  private final Consumer<NodeSettings> apply;
  private NodeSettings inForce;
  private FileTime changedAt;

  /**
   * Creates a watch that has not looked yet.
   *
   * @param settings the settings in force
   * @param apply takes changed settings over, with the names and addresses of those in force
   */
  SettingsWatch(Path file, NodeSettings settings, Consumer<NodeSettings> apply) {
    this.file = file;
    this.inForce = settings;
    this.apply = apply;
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
      List<String> fixed = read.fixedDifferences(inForce);
      NodeSettings next = read.withFixedOf(inForce);
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

  private FileTime lastChange() {
    try {
      return Files.getLastModifiedTime(file);
    } catch (IOException e) {
      logger.atWarning().log("%s", LogEvent.of("settings.unreadable").with("cause", e));
      return changedAt;
    }
  }
}
