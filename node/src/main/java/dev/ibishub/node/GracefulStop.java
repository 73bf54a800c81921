package dev.ibishub.node;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.gateway.front.CallerServer;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.runtime.MonotonicClock;
import dev.ibishub.settings.NodeSettings;
import java.util.concurrent.TimeUnit;

/**
 * A planned stop of an entry. It is no longer named to callers and not ready from the first moment,
 * but goes on serving, for callers keep an answer that names it: until the longest of these has run
 * out and nothing is under way, or the time for stopping is nearly over.
 */
final class GracefulStop {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Some callers keep an answer this many times as long as it is valid. */
  private static final double KEPT_LONGER = 3;

  /** Left of the time for stopping, for the answers of the last moment to be written. */
  private static final long RESERVE_MILLIS = 400;

  private static final long LOOK_MILLIS = 50;

  private final NodeSettings settings;
  private final CallerServer server;
  private final Runnable leave;

  GracefulStop(NodeSettings settings, CallerServer server, Runnable leave) {
    this.settings = settings;
    this.server = server;
    this.leave = leave;
  }

  /** Returns when the process is about to end, which it then does. */
  void run() {
    long startedAt = MonotonicClock.millis();
    leave.run();
    logger.atInfo().log("%s", LogEvent.of("entry.leaving").with("in_flight", server.inFlight()));
    double validSeconds =
        Math.min(settings.addressValiditySeconds(), settings.longestAddressValiditySeconds());
    long last = startedAt + TimeUnit.SECONDS.toMillis(settings.graceSeconds()) - RESERVE_MILLIS;
    long servesUntil =
        Math.min(last, startedAt + (long) (KEPT_LONGER * validSeconds * 1_000) + LOOK_MILLIS);
    try {
      while (MonotonicClock.millis() < servesUntil
          || (server.inFlight() > 0 && MonotonicClock.millis() < last)) {
        Thread.sleep(LOOK_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    logger.atInfo().log("%s", LogEvent.of("entry.stopped").with("in_flight", server.inFlight()));
    server.close();
    System.exit(0);
  }
}
