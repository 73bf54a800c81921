package dev.ibishub.node;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.gateway.callers.CallerServer;
import dev.ibishub.gateway.front.StopPlan;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.runtime.MonotonicClock;
import dev.ibishub.settings.NodeSettings;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;

/**
 * The graceful stop of an entry. From its beginning, the entry isn't ready and its address is no
 * longer given to callers. It goes on serving, because callers cache addresses, until the cached
 * ones have expired, no request is in flight and all responses are written, or until the grace
 * period is nearly over. Thread-safe.
 */
final class GracefulStop implements StopPlan {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Multiple of its validity for which some callers cache an address. */
  private static final double CACHING_FACTOR = 3;

  /** Part of the grace period that is reserved for writing the last responses, milliseconds. */
  private static final long RESERVE_MILLIS = 400;

  /**
   * Time from the beginning of the stop during which every request is accepted, milliseconds. It is
   * longer than most callers cache an address, and nearly all streams that begin by then end before
   * the process does. Later, only requests whose deadline is before that end are accepted; other
   * callers are told to retry at once at another entry.
   */
  private static final long ACCEPTS_ALL_MILLIS = 2_500;

  /** Interval between checks whether the stop is complete, milliseconds. */
  private static final long CHECK_INTERVAL_MILLIS = 50;

  private static final long NOT_LEAVING = Long.MAX_VALUE;

  private volatile NodeSettings settings;
  private volatile long leavingSince = NOT_LEAVING;

  GracefulStop(NodeSettings settings) {
    this.settings = settings;
  }

  /** Replaces the settings. */
  void updateSettings(NodeSettings changed) {
    settings = changed;
  }

  @Override
  public boolean isLeaving() {
    return leavingSince != NOT_LEAVING;
  }

  @Override
  public boolean mayInterrupt(long deadline) {
    return isLeaving()
        && MonotonicClock.millis() > leavingSince + ACCEPTS_ALL_MILLIS
        && deadline > endsAt();
  }

  /** Stops the entry and exits the process; blocks until then. */
  void run(CallerServer server) {
    leavingSince = MonotonicClock.millis();
    logger.atInfo().log("%s", event("entry.leaving", server));
    double validSeconds =
        Math.min(settings.addressValiditySeconds(), settings.longestAddressValiditySeconds());
    long servesUntil =
        Math.min(endsAt(), leavingSince + (long) (CACHING_FACTOR * validSeconds * 1_000));
    try {
      while (MonotonicClock.millis() < servesUntil
          || (server.isBusy() && MonotonicClock.millis() < endsAt())) {
        Thread.sleep(CHECK_INTERVAL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    logger.at(server.isBusy() ? Level.WARNING : Level.INFO).log(
        "%s", event("entry.stopped", server));
    server.close();
    System.exit(0);
  }

  private static LogEvent event(String name, CallerServer server) {
    return LogEvent.of(name)
        .with("in_flight", server.inFlight())
        .with("unwritten_responses", server.unwritten().responses())
        .with("unwritten_bytes", server.unwritten().bytes());
  }

  private long endsAt() {
    return leavingSince + TimeUnit.SECONDS.toMillis(settings.graceSeconds()) - RESERVE_MILLIS;
  }
}
