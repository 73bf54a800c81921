package dev.ibishub.node;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.gateway.front.CallerServer;
import dev.ibishub.gateway.front.StopPlan;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.runtime.MonotonicClock;
import dev.ibishub.settings.NodeSettings;
import java.util.concurrent.TimeUnit;

/**
 * A planned stop of an entry. It is no longer named to callers and not ready from the first moment,
 * but goes on serving, for callers keep an answer that names it: until the longest of these has run
 * out and nothing is under way, or the time for stopping is nearly over. Thread-safe.
 */
final class GracefulStop implements StopPlan {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Some callers keep an answer this many times as long as it is valid. */
  private static final double KEPT_LONGER = 3;

  /** Left of the time for stopping, for the answers of the last moment to be written. */
  private static final long RESERVE_MILLIS = 400;

  /**
   * How long any request is still taken, milliseconds: longer than most callers keep an answer, and
   * nearly all streams that begin by then end before the process does. Later only requests are
   * taken that must be over by then; others are told to come back at once, elsewhere.
   */
  private static final long TAKES_ALL_MILLIS = 2_500;

  private static final long LOOK_MILLIS = 50;
  private static final long NOT_LEAVING = Long.MAX_VALUE;

  private volatile NodeSettings settings;
  private volatile long leavingSince = NOT_LEAVING;

  GracefulStop(NodeSettings settings) {
    this.settings = settings;
  }

  /** Goes by other settings from now on. */
  void change(NodeSettings changed) {
    settings = changed;
  }

  @Override
  public boolean isLeaving() {
    return leavingSince != NOT_LEAVING;
  }

  @Override
  public boolean mayCut(long deadline) {
    return isLeaving()
        && MonotonicClock.millis() > leavingSince + TAKES_ALL_MILLIS
        && deadline > endsAt();
  }

  /** Stops the entry and ends the process. */
  void run(CallerServer server) {
    leavingSince = MonotonicClock.millis();
    logger.atInfo().log("%s", LogEvent.of("entry.leaving").with("in_flight", server.inFlight()));
    double validSeconds =
        Math.min(settings.addressValiditySeconds(), settings.longestAddressValiditySeconds());
    long servesUntil =
        Math.min(endsAt(), leavingSince + (long) (KEPT_LONGER * validSeconds * 1_000));
    try {
      while (MonotonicClock.millis() < servesUntil
          || (server.inFlight() > 0 && MonotonicClock.millis() < endsAt())) {
        Thread.sleep(LOOK_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    logger.atInfo().log("%s", LogEvent.of("entry.stopped").with("in_flight", server.inFlight()));
    server.close();
    System.exit(0);
  }

  private long endsAt() {
    return leavingSince + TimeUnit.SECONDS.toMillis(settings.graceSeconds()) - RESERVE_MILLIS;
  }
}
