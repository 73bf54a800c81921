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
 * Appends the configuration to the log again before retention takes it. Every entry has one and
 * calls {@link #appendIfDue} every few seconds. Thread-safe.
 */
public final class ConfigurationSnapshots {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final AppendOnlyLog log;
  private final ConfigurationFollower follower;
  private final String self;
  private final Supplier<Collection<String>> live;
  private final Duration retention;
  private final AtomicBoolean appending = new AtomicBoolean();

  private ConfigurationSnapshots(
      AppendOnlyLog log,
      ConfigurationFollower follower,
      String self,
      Supplier<Collection<String>> live,
      Duration retention) {
    this.log = log;
    this.follower = follower;
    this.self = self;
    this.live = live;
    this.retention = retention;
  }

  /**
   * Creates a writer.
   *
   * @param log the platform's log
   * @param follower knows the configuration
   * @param self the id of this process
   * @param live the ids of the entries that this process takes for live
   * @param retention how long the log keeps records
   */
  public static ConfigurationSnapshots create(
      AppendOnlyLog log,
      ConfigurationFollower follower,
      String self,
      Supplier<Collection<String>> live,
      Duration retention) {
    return new ConfigurationSnapshots(log, follower, self, live, retention);
  }

  /**
   * Appends a snapshot if one is due from this process and none is on its way.
   *
   * <p>A lost answer needs no care: a snapshot changes nothing, and one that came too late is void
   * at every reader, so the next call finds out whether one is still due.
   *
   * @return whether one was appended; never fails
   */
  public CompletableFuture<Boolean> appendIfDue() {
    Optional<byte[]> snapshot = follower.dueSnapshot(self, live.get(), retention);
    if (snapshot.isEmpty() || !appending.compareAndSet(false, true)) {
      return CompletableFuture.completedFuture(false);
    }
    return log.append(ConfigurationFollower.STREAM, snapshot.get())
        .handle(
            (offset, failure) -> {
              appending.set(false);
              logger.atInfo().log(
                  "event=configuration_snapshot appended=%b bytes=%d",
                  failure == null, snapshot.get().length);
              return failure == null;
            });
  }
}
