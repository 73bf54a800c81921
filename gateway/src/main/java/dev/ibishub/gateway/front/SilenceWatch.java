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
 * Looks after one attempt at a target, so that another target may take over when this one is
 * silent. Runs on one event loop; not thread-safe.
 */
final class SilenceWatch {
  /** Shortest time between two looks at whether a stream has gone silent, milliseconds. */
  private static final long STREAM_LOOK_MILLIS = 150;

  private final EventLoop loop;
  private final ServiceWatch services;
  private final String service;
  private final Listener listener;
  private ScheduledFuture<?> next;
  private long heardAt;
  private boolean hasPiece;
  private boolean isStopped;

  /**
   * Told of silence.
   *
   * @param isQueueing whether, at a time, the target has more requests than it runs at once
   * @param onPageSilent called once when a page that may run twice is worth asking for elsewhere
   * @param onStreamLost called when a stream alone has gone silent, and again while it stays so
   */
  record Listener(LongPredicate isQueueing, Runnable onPageSilent, Runnable onStreamLost) {}

  SilenceWatch(EventLoop loop, ServiceWatch services, String service, Listener listener) {
    this.loop = loop;
    this.services = services;
    this.service = service;
    this.listener = listener;
  }

  /** Begins to look, where the request may run at a second target. */
  void start(Routing.Routed routed, long sentAt) {
    heardAt = sentAt;
    if (routed.route().kind() == RequestKind.IDEMPOTENT && routed.engine().isEmpty()) {
      // The first target goes on: given up, one in seven of those asked instead failed where the
      // first would have answered.
      services
          .answers(service)
          .silenceMillis(routed.route().aimMillis())
          .ifPresent(millis -> schedule(listener.onPageSilent(), millis));
    } else if (routed.route().kind() == RequestKind.RESUMABLE_STREAM) {
      awaitStream(sentAt);
    }
  }

  void onPiece(long now) {
    heardAt = now;
    hasPiece = true;
  }

  void stop() {
    isStopped = true;
    if (next != null) {
      next.cancel(false);
    }
  }

  private void awaitStream(long now) {
    long due = SilenceRule.lostFrom(heardAt, hasPiece);
    schedule(this::onStreamLook, Math.max(STREAM_LOOK_MILLIS, due - now));
  }

  private void onStreamLook() {
    long now = MonotonicClock.millis();
    OptionalLong movingSince = services.streams(service).movingSince(now);
    boolean mayWait = listener.isQueueing().test(now);
    if (SilenceRule.isLost(now, heardAt, hasPiece, mayWait, movingSince)) {
      listener.onStreamLost().run();
    }
    if (!isStopped) {
      awaitStream(now);
    }
  }

  private void schedule(Runnable look, long millis) {
    next = loop.schedule(look, millis, TimeUnit.MILLISECONDS);
  }
}
