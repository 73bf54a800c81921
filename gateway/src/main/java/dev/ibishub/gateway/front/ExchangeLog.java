package dev.ibishub.gateway.front;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.serving.AttemptOutcome;
import dev.ibishub.gateway.model.Route;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.runtime.MonotonicClock;
import java.util.List;
import java.util.function.IntSupplier;

/**
 * Log lines of one request, each with the facts that its decision went by. Keys and bodies are
 * never logged. Not thread-safe.
 */
final class ExchangeLog {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final String attemptId;
  private final long arrivedAt;
  private final List<String> promptParts;
  private final IntSupplier entries;
  private String route = "";
  private String service = "";
  private long configurationVersion;
  private TargetDirectory.ListedTarget target;

  ExchangeLog(CallerRequest caller, long arrivedAt, IntSupplier entries) {
    this.attemptId = caller.attemptId();
    this.promptParts = caller.promptParts();
    this.arrivedAt = arrivedAt;
    this.entries = entries;
  }

  void onRouting(Routing routing) {
    if (routing instanceof Routing.Routed routed) {
      route = routed.route().name();
      service = routed.service();
      configurationVersion = routed.configurationVersion();
    } else if (routing instanceof Routing.Refused refused) {
      configurationVersion = refused.configurationVersion();
    }
  }

  void onTarget(TargetDirectory.ListedTarget chosen) {
    target = chosen;
  }

  /**
   * Logs that a target refused the request, and for how long it wants no requests from this entry.
   */
  void backOffRequested(TargetDirectory.ListedTarget refusing, long backOffMillis) {
    logger.atInfo().log(
        "%s",
        LogEvent.of("target.asks_rest")
            .request(attemptId)
            .with("target", refusing.target().id())
            .with("rest_ms", backOffMillis));
  }

  /** Logs a successful response that was later than an objective of its route. */
  void logIfLate(Route matchedRoute, ResponseTimings timings, int sends) {
    if (timings.isLate(
        matchedRoute.latencyObjectiveMillis(), matchedRoute.pauseObjectiveMillis())) {
      ended(
          "request.late",
          ResultCode.OK,
          "first piece after %d ms of %d, longest pause %d ms of %d"
              .formatted(
                  timings.firstPieceMillis(),
                  matchedRoute.latencyObjectiveMillis(),
                  timings.longestPauseMillis(),
                  matchedRoute.pauseObjectiveMillis()),
          sends);
    }
  }

  /**
   * Logs a failed attempt.
   *
   * @param writtenBytes how much of the body of its response was written to the caller
   */
  void attemptFailed(
      AttemptOutcome outcome, String cause, long writtenBytes, boolean isRetried, int sends) {
    logger.atInfo().log(
        "%s",
        LogEvent.of("attempt.failed")
            .request(attemptId)
            .with("target", targetId())
            .with("outcome", outcome)
            .with("cause", cause)
            .with("parts", String.join(",", promptParts))
            .with("begun", writtenBytes > 0)
            .with("written_bytes", writtenBytes)
            .with("again", isRetried)
            .with("sends", sends)
            .with("after_ms", MonotonicClock.millis() - arrivedAt));
  }

  void ended(String event, ResultCode code, String cause, int sends) {
    logger.atInfo().log("%s", end(event, code, cause, sends));
  }

  /**
   * Logs that the caller closed its connection.
   *
   * @param cancelled ids of the targets at which the request was under way
   * @param connected those of them to which a connection is open still
   * @param cancelMillis time from noticing the close until the runs were cancelled, milliseconds
   */
  void left(List<String> cancelled, List<String> connected, long cancelMillis, int sends) {
    logger.atInfo().log(
        "%s",
        end("request.left", ResultCode.CANCELLED, "caller closed its connection", sends)
            .with("cancelled", String.join(",", cancelled))
            .with("connected", String.join(",", connected))
            .with("cancel_ms", cancelMillis));
  }

  private LogEvent end(String event, ResultCode code, String cause, int sends) {
    return LogEvent.of(event)
        .request(attemptId)
        .code(code)
        .with("route", route)
        .with("service", service)
        .with("configuration", configurationVersion)
        .with("target", targetId())
        .with("load", target == null ? "" : loadOfTarget())
        .with("sends", sends)
        .with("after_ms", MonotonicClock.millis() - arrivedAt)
        .with("cause", cause);
  }

  private String targetId() {
    return target == null ? "" : target.target().id();
  }

  /** Describes the load of the target, and whether it was reported by the target or estimated. */
  private String loadOfTarget() {
    long now = MonotonicClock.millis();
    return "%.0f %s"
        .formatted(
            target.load().requests(now, entries.getAsInt()),
            target.load().hasReport(now) ? "reported" : "estimated");
  }
}
