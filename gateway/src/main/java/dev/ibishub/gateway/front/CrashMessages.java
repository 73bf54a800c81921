package dev.ibishub.gateway.front;

import dev.ibishub.core.serving.CrashedRun;
import dev.ibishub.core.serving.RequestIdentity;
import dev.ibishub.wire.generated.BrokenRun;
import dev.ibishub.wire.generated.CrashReport;
import dev.ibishub.wire.generated.Frame;
import java.util.List;

/**
 * Conversion of suspected crashes to and from the messages that entries exchange about requests
 * that crash targets. Messages carry ages instead of times, as each process has a clock of its own.
 */
final class CrashMessages {
  private CrashMessages() {}

  /**
   * Returns a message that reports crashed runs.
   *
   * @param now the sender's time, milliseconds
   */
  static Frame crashedFrame(List<CrashedRun> runs, long now) {
    CrashReport.Builder report = CrashReport.newBuilder();
    runs.forEach(run -> report.addRuns(message(run, now)));
    return Frame.newBuilder().setCrashReport(report).build();
  }

  /** Returns a message that a request is no longer suspected. */
  static Frame clearedFrame(RequestIdentity request) {
    return Frame.newBuilder()
        .setCrashReport(CrashReport.newBuilder().addCleared(request.digest()))
        .build();
  }

  private static BrokenRun message(CrashedRun run, long now) {
    return BrokenRun.newBuilder()
        .setRequest(run.request().digest())
        .setTargetLife(run.targetIncarnation())
        .setSentAgeMillis(Math.max(0, now - run.sentAt()))
        .setBrokenAgeMillis(Math.max(0, now - run.brokenAt()))
        .build();
  }

  /**
   * Reads a run from a message.
   *
   * @param now the receiver's time, milliseconds
   */
  static CrashedRun toRun(BrokenRun message, long now) {
    return new CrashedRun(
        new RequestIdentity(message.getRequest()),
        message.getTargetLife(),
        now - message.getSentAgeMillis(),
        now - message.getBrokenAgeMillis());
  }
}
