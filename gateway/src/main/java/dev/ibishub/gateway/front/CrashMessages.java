package dev.ibishub.gateway.front;

import dev.ibishub.core.serving.CrashedRun;
import dev.ibishub.core.serving.RequestIdentity;
import dev.ibishub.wire.generated.BrokenRun;
import dev.ibishub.wire.generated.CrashReport;
import dev.ibishub.wire.generated.Frame;
import java.util.List;

/** What entries tell each other of requests that crash targets, as messages. */
final class CrashMessages {
  private CrashMessages() {}

  /**
   * Makes a message of crashed runs.
   *
   * @param now the sender's time, milliseconds
   */
  static Frame crashed(List<CrashedRun> runs, long now) {
    CrashReport.Builder report = CrashReport.newBuilder();
    runs.forEach(run -> report.addRuns(message(run, now)));
    return Frame.newBuilder().setCrashReport(report).build();
  }

  static Frame cleared(RequestIdentity request) {
    return Frame.newBuilder()
        .setCrashReport(CrashReport.newBuilder().addCleared(request.digest()))
        .build();
  }

  private static BrokenRun message(CrashedRun run, long now) {
    return BrokenRun.newBuilder()
        .setRequest(run.request().digest())
        .setTargetLife(run.targetLife())
        .setSentAgeMillis(Math.max(0, now - run.sentAt()))
        .setBrokenAgeMillis(Math.max(0, now - run.brokenAt()))
        .build();
  }

  /**
   * Reads a run back.
   *
   * @param now the receiver's time, milliseconds
   */
  static CrashedRun run(BrokenRun message, long now) {
    return new CrashedRun(
        new RequestIdentity(message.getRequest()),
        message.getTargetLife(),
        now - message.getSentAgeMillis(),
        now - message.getBrokenAgeMillis());
  }
}
