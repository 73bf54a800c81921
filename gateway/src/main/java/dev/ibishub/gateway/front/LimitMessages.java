package dev.ibishub.gateway.front;

import dev.ibishub.core.serving.LimitStatement;
import dev.ibishub.wire.generated.Frame;
import dev.ibishub.wire.generated.LimitReport;
import dev.ibishub.wire.generated.TargetLimit;
import java.util.List;
import java.util.OptionalDouble;
import java.util.stream.Stream;

/**
 * Conversion of targets' limits to and from the messages that entries exchange. Messages carry ages
 * instead of times, as each process has a clock of its own.
 */
final class LimitMessages {
  private LimitMessages() {}

  /**
   * Returns a message with limits.
   *
   * @param now the sender's time, milliseconds
   */
  static Frame frame(List<LimitStatement> limits, long now) {
    LimitReport.Builder report = LimitReport.newBuilder();
    limits.forEach(limit -> report.addLimits(message(limit, now)));
    return Frame.newBuilder().setLimitReport(report).build();
  }

  private static TargetLimit message(LimitStatement limit, long now) {
    TargetLimit.Builder message =
        TargetLimit.newBuilder()
            .setTargetLife(limit.targetIncarnation())
            .setAgeMillis(Math.max(0, now - limit.statedAt()));
    limit.requestsPerSecond().ifPresent(message::setRequestsPerSecond);
    return message.build();
  }

  /**
   * Reads the limits from a message, and leaves out those that are negative or not a number.
   *
   * @param now the receiver's time, milliseconds
   */
  static Stream<LimitStatement> limits(LimitReport report, long now) {
    return report.getLimitsList().stream()
        .filter(message -> message.getRequestsPerSecond() >= 0)
        .map(message -> toLimit(message, now));
  }

  private static LimitStatement toLimit(TargetLimit message, long now) {
    return new LimitStatement(
        message.getTargetLife(),
        message.hasRequestsPerSecond()
            ? OptionalDouble.of(message.getRequestsPerSecond())
            : OptionalDouble.empty(),
        now - message.getAgeMillis());
  }
}
