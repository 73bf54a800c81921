package dev.ibishub.gateway.front;

import dev.ibishub.core.ResultCode;
import dev.ibishub.core.serving.admission.AdmissionRequest;
import io.netty.channel.EventLoop;

/**
 * A request that asks for admission. Equal only to itself.
 *
 * <p>{@code onAdmitted} and {@code onRefused} are called on {@code loop}; at most one of them,
 * once.
 */
final class AdmissionTicket {
  /** Called when the request is refused. */
  interface Refusal {
    /**
     * Refuses the request.
     *
     * @param retryMillis when the caller should retry, milliseconds from now
     * @param cause the reason, for the log
     */
    void refuse(ResultCode code, long retryMillis, String cause);
  }

  private final String attemptId;
  private final Routing.Routed routed;
  private final AdmissionRequest request;
  private final EventLoop loop;
  private final Runnable onAdmitted;
  private final Refusal onRefused;

  AdmissionTicket(
      String attemptId,
      Routing.Routed routed,
      AdmissionRequest request,
      EventLoop loop,
      Runnable onAdmitted,
      Refusal onRefused) {
    this.attemptId = attemptId;
    this.routed = routed;
    this.request = request;
    this.loop = loop;
    this.onAdmitted = onAdmitted;
    this.onRefused = onRefused;
  }

  String attemptId() {
    return attemptId;
  }

  Routing.Routed routed() {
    return routed;
  }

  String service() {
    return routed.service();
  }

  AdmissionRequest request() {
    return request;
  }

  EventLoop loop() {
    return loop;
  }

  void admit() {
    runOnLoop(onAdmitted);
  }

  void refuse(ResultCode code, long retryMillis, String cause) {
    runOnLoop(() -> onRefused.refuse(code, retryMillis, cause));
  }

  private void runOnLoop(Runnable action) {
    if (loop.inEventLoop()) {
      action.run();
    } else {
      loop.execute(action);
    }
  }
}
