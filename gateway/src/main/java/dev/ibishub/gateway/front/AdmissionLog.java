package dev.ibishub.gateway.front;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.core.serving.admission.AdmissionPolicy;
import dev.ibishub.core.serving.admission.Decision;
import dev.ibishub.core.serving.admission.ServiceLoad;
import dev.ibishub.runtime.LogEvent;
import java.util.Locale;

/** Log lines of admission, each with the facts that the decision went by. Stateless. */
final class AdmissionLog {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private AdmissionLog() {}

  /** Logs that a request waits or is refused as it arrives; a request that is sent has no line. */
  static void onDecision(
      AdmissionTicket ticket,
      Decision decision,
      AdmissionPolicy.Situation situation,
      ServiceLoad load,
      double requestsPerTarget) {
    if (decision instanceof Decision.Wait wait) {
      logger.atInfo().log(
          "%s",
          described(event("admission.waits", ticket), situation, load, requestsPerTarget)
              .with("predicted_ms", wait.predictedMillis()));
    } else if (decision instanceof Decision.Refuse refusal) {
      logger.atInfo().log(
          "%s",
          described(event("admission.refused", ticket), situation, load, requestsPerTarget)
              .with("reason", refusal.reason())
              .with("predicted_ms", Math.round(situation.waitMillis()))
              .with("retry_ms", refusal.retryAfterMillis()));
    }
  }

  /** Logs that a waiting request is refused. */
  static void onWaitRefused(
      AdmissionTicket ticket, Decision.Refuse refusal, long predictedMillis, long waitedMillis) {
    boolean isDisplaced = refusal.reason() == Decision.Reason.DISPLACED;
    logger.atInfo().log(
        "%s",
        event(isDisplaced ? "admission.displaced" : "admission.refused", ticket)
            .with("reason", refusal.reason())
            .with("predicted_ms", predictedMillis)
            .with("waited_ms", waitedMillis)
            .with("retry_ms", refusal.retryAfterMillis()));
  }

  private static LogEvent event(String name, AdmissionTicket ticket) {
    return LogEvent.of(name)
        .request(ticket.attemptId())
        .with("service", ticket.service())
        .with("route", ticket.routed().route().name())
        .with("priority", ticket.request().priority())
        .with("workspace", ticket.request().workspace())
        .with("returning", ticket.request().isReturning());
  }

  private static LogEvent described(
      LogEvent event,
      AdmissionPolicy.Situation situation,
      ServiceLoad load,
      double requestsPerTarget) {
    return event
        .with("ahead", situation.ahead())
        .with("credit", decimal(situation.credit()))
        .with("starts_per_s", decimal(situation.startsPerSecond()))
        .with("urgent_per_s", decimal(situation.urgentPerSecond()))
        .with("requests", Math.round(load.requests()))
        .with("targets", load.targets())
        .with("capacity", decimal(requestsPerTarget))
        .with("pass_ms", Math.round(situation.passMillis()));
  }

  private static String decimal(double value) {
    return String.format(Locale.ROOT, "%.1f", value);
  }
}
