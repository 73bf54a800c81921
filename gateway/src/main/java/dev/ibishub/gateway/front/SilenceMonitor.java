package dev.ibishub.gateway.front;

import dev.ibishub.core.serving.RequestKind;
import dev.ibishub.core.serving.SilenceRule;
import dev.ibishub.runtime.MonotonicClock;
import io.netty.channel.EventLoop;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;

/**
 * Detector of a silent target during one attempt, so that another target can take over. Runs on one
 * event loop; not thread-safe.
 */
final class SilenceMonitor {
  /** Shortest interval between checks for a silent stream, milliseconds. */
  private static final long STREAM_CHECK_MILLIS = 150;

  private final EventLoop loop;
  private final ServiceStatistics services;
  private final String service;
  private final Listener listener;
  private ScheduledFuture<?> timer;
  private long lastReceivedAt;
  private boolean hasReceivedPiece;
  private boolean isStopped;

  /**
   * Callbacks of the monitor.
   *
   * @param isQueueing whether, at a time, the target has more requests than it runs at once
   * @param onHedgeDue called once, when an idempotent request is worth sending to a second target
   * @param onStreamSilent called when this stream is silent while others are not, and again while
   *     it stays so
   */
  record Listener(LongPredicate isQueueing, Runnable onHedgeDue, Runnable onStreamSilent) {}

  SilenceMonitor(EventLoop loop, ServiceStatistics services, String service, Listener listener) {
    this.loop = loop;
    this.services = services;
    this.service = service;
    this.listener = listener;
  }

  /** Starts the checks, if the request may run at a second target. */
  void start(Routing.Routed routed, long sentAt) {
    lastReceivedAt = sentAt;
    if (routed.route().kind() == RequestKind.IDEMPOTENT && routed.engine().isEmpty()) {
      // The first attempt keeps running: when it was cancelled instead, one in seven of the hedged
      // requests failed although the first target would have responded.
      services
          .responseTimes(service)
          .hedgeDelayMillis(routed.route().latencyObjectiveMillis())
          .ifPresent(millis -> schedule(listener.onHedgeDue(), millis));
    } else if (routed.route().kind() == RequestKind.RESUMABLE_STREAM) {
      scheduleStreamCheck(sentAt);
    }
  }

  void onPiece(long now) {
    lastReceivedAt = now;
    hasReceivedPiece = true;
  }

  void stop() {
    isStopped = true;
    if (timer != null) {
      timer.cancel(false);
    }
  }

  private void scheduleStreamCheck(long now) {
    long due = SilenceRule.lostFrom(lastReceivedAt, hasReceivedPiece);
    schedule(this::checkStream, Math.max(STREAM_CHECK_MILLIS, due - now));
  }

  private void checkStream() {
    long now = MonotonicClock.millis();
    OptionalLong progressingSince = services.streamProgress(service).progressingSince(now);
    boolean mayBeQueued = listener.isQueueing().test(now);
    if (!isStopped) {
      scheduleStreamCheck(now);
    }
    if (SilenceRule.isLost(now, lastReceivedAt, hasReceivedPiece, mayBeQueued, progressingSince)) {
      listener.onStreamSilent().run();
    }
  }

  private void schedule(Runnable check, long millis) {
    timer = loop.schedule(check, millis, TimeUnit.MILLISECONDS);
  }
}
