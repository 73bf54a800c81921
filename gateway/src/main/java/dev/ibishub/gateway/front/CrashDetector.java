package dev.ibishub.gateway.front;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.core.serving.CrashedRun;
import dev.ibishub.core.serving.RequestIdentity;
import dev.ibishub.core.serving.RequestQuarantine;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.runtime.MonotonicClock;
import dev.ibishub.wire.generated.CrashReport;
import dev.ibishub.wire.generated.Frame;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Detector of requests that crash targets, which shares what it finds with the other entries.
 * Thread-safe.
 *
 * <p>A broken connection does not show whether the target crashed or only lost a response, so the
 * target is connected to once more: if the connection is refused, the process at that port has
 * ended. A crash after which the target's host does not respond at all is detected later, when the
 * target announces itself after a restart.
 */
public final class CrashDetector {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Connect timeout, milliseconds; connecting usually takes 1 to 5. */
  private static final int CONNECT_TIMEOUT_MILLIS = 100;

  private final RequestQuarantine quarantine = new RequestQuarantine();
  private final Consumer<Frame> broadcast;

  /**
   * Creates a detector without suspicions.
   *
   * @param broadcast sends a message to all linked entries
   */
  public CrashDetector(Consumer<Frame> broadcast) {
    this.broadcast = broadcast;
  }

  /** Whether a request is quarantined, so that it must not be sent to any target. */
  boolean isQuarantined(Supplier<RequestIdentity> request, long now) {
    return quarantine.suspectsAny() && quarantine.isQuarantined(request.get(), now);
  }

  /** Returns how many crashes in a row a request is suspected of. */
  int crashes(RequestIdentity request) {
    return quarantine.crashes(request);
  }

  /**
   * Notes that a run broke off, and checks whether its target crashed.
   *
   * @param loop the event loop for the check
   * @param address where the target listens
   * @param next called on the loop after the check
   */
  void onBroken(EventLoop loop, CrashedRun run, InetSocketAddress address, Runnable next) {
    publish(quarantine.onBroken(run));
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
        .handler(new ChannelInboundHandlerAdapter())
        .connect(address)
        .addListener(
            (ChannelFuture connected) -> {
              connected.channel().close();
              logCheck(run, connected.cause());
              if (isRefused(connected.cause())) {
                onIncarnationEnded(run.targetIncarnation());
              }
              loop.execute(next);
            });
  }

  /** Notes that a run was abandoned because its target went silent. */
  void onSilent(CrashedRun run) {
    publish(quarantine.onBroken(run));
  }

  /** Notes that a target completed a request, which clears it of suspicion. */
  void onCompleted(Supplier<RequestIdentity> request) {
    if (quarantine.suspectsAny() && quarantine.onCompleted(request.get())) {
      broadcast.accept(CrashMessages.clearedFrame(request.get()));
    }
  }

  /**
   * Notes that a target's incarnation ended without notice; see {@link
   * dev.ibishub.gateway.model.Target#incarnation}.
   */
  public void onIncarnationEnded(String targetIncarnation) {
    publish(quarantine.onCrashed(targetIncarnation));
  }

  /**
   * Merges a report of another entry.
   *
   * @return whether any of it was new, so that other entries may not have it yet
   */
  public boolean onReport(CrashReport report) {
    long now = MonotonicClock.millis();
    List<CrashedRun> runs =
        report.getRunsList().stream()
            .map(message -> CrashMessages.toRun(message, now))
            .filter(quarantine::onReport)
            .toList();
    runs.forEach(run -> log("crash.told", run));
    long cleared =
        report.getClearedList().stream()
            .map(RequestIdentity::new)
            .filter(quarantine::onCompleted)
            .count();
    return !runs.isEmpty() || cleared > 0;
  }

  /**
   * Returns a message with all suspicions, for an entry that has just started; empty if there are
   * none.
   */
  public Optional<Frame> snapshot() {
    List<CrashedRun> all = quarantine.all();
    return all.isEmpty()
        ? Optional.empty()
        : Optional.of(CrashMessages.crashedFrame(all, MonotonicClock.millis()));
  }

  private void publish(List<CrashedRun> newRuns) {
    if (newRuns.isEmpty()) {
      return;
    }
    newRuns.forEach(run -> log("crash.suspected", run));
    broadcast.accept(CrashMessages.crashedFrame(newRuns, MonotonicClock.millis()));
  }

  private void log(String event, CrashedRun run) {
    logger.atInfo().log(
        "%s",
        LogEvent.of(event)
            .with("identity", run.request().digest())
            .with("target_life", run.targetIncarnation())
            .with("ran_ms", run.brokenAt() - run.sentAt())
            .with("crashes", quarantine.crashes(run.request())));
  }

  private static void logCheck(CrashedRun run, Throwable cause) {
    logger.atInfo().log(
        "%s",
        LogEvent.of("crash.checked")
            .with("target_life", run.targetIncarnation())
            .with("ran_ms", run.brokenAt() - run.sentAt())
            .with("connect", cause == null ? "accepted" : cause.getClass().getSimpleName()));
  }

  private static boolean isRefused(Throwable cause) {
    return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
  }
}
