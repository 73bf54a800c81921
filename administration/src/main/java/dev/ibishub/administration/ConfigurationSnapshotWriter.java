package dev.ibishub.administration;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.outbound.AppendOnlyLog;
import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

/**
 * Writer of configuration snapshots, which appends the configuration to the log again before the
 * log's retention deletes it. Every entry has one and calls {@link #appendIfDue} every few seconds.
 * Thread-safe.
 */
public final class ConfigurationSnapshotWriter {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final AppendOnlyLog log;
  private final ConfigurationFollower follower;
  private final String processId;
  private final Supplier<Collection<String>> liveEntries;
  private final Duration retention;
  private final AtomicBoolean appendInFlight = new AtomicBoolean();

  private ConfigurationSnapshotWriter(
      AppendOnlyLog log,
      ConfigurationFollower follower,
      String processId,
      Supplier<Collection<String>> liveEntries,
      Duration retention) {
    this.log = log;
    this.follower = follower;
    this.processId = processId;
    this.liveEntries = liveEntries;
    this.retention = retention;
  }

  /**
   * Creates a snapshot writer.
   *
   * @param log the platform's log
   * @param follower source of the configuration to write
   * @param processId the id of this process
   * @param liveEntries supplies the ids of the entries that this process considers live
   * @param retention how long the log keeps records
   */
  public static ConfigurationSnapshotWriter create(
      AppendOnlyLog log,
      ConfigurationFollower follower,
      String processId,
      Supplier<Collection<String>> liveEntries,
      Duration retention) {
    return new ConfigurationSnapshotWriter(log, follower, processId, liveEntries, retention);
  }

  /**
   * Appends a snapshot if one is due from this process and no append is in flight.
   *
   * <p>An append whose outcome is unknown is not handled specially: a snapshot does not change the
   * configuration, and readers ignore one that arrives too late. The next call checks whether a
   * snapshot is still due.
   *
   * @return whether a snapshot was appended; the future never fails
   */
  public CompletableFuture<Boolean> appendIfDue() {
    Optional<byte[]> snapshot = follower.snapshotIfDue(processId, liveEntries.get(), retention);
    if (snapshot.isEmpty() || !appendInFlight.compareAndSet(false, true)) {
      return CompletableFuture.completedFuture(false);
    }
    return log.append(ConfigurationFollower.STREAM, snapshot.get())
        .handle(
            (offset, failure) -> {
              appendInFlight.set(false);
              logger.atInfo().log(
                  "event=configuration_snapshot appended=%b bytes=%d",
                  failure == null, snapshot.get().length);
              return failure == null;
            });
  }
}
