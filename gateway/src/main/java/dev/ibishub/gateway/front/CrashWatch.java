package dev.ibishub.gateway.front;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.core.serving.CrashBlame;
import dev.ibishub.core.serving.CrashedRun;
import dev.ibishub.core.serving.RequestIdentity;
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
 * Finds requests that crash targets, together with the other entries. Thread-safe.
 *
 * <p>A connection that breaks does not tell a target that crashed from one that lost an answer, so
 * the target is connected to once more: a port at which nothing listens belongs to a process that
 * ended. A crash that leaves the target dark shows later, when it announces its next life.
 */
public final class CrashWatch {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** How long a connection may take to come about, milliseconds; usual is 1 to 5. */
  private static final int CONNECT_MILLIS = 100;

  private final CrashBlame blame = new CrashBlame();
  private final Consumer<Frame> broadcast;

  /**
   * Creates a watch that suspects nothing.
   *
   * @param broadcast tells all linked entries
   */
  public CrashWatch(Consumer<Frame> broadcast) {
    this.broadcast = broadcast;
  }

  /** Whether a request must be sent to no target. */
  boolean isQuarantined(Supplier<RequestIdentity> request, long now) {
    return blame.suspectsAny() && blame.isQuarantined(request.get(), now);
  }

  /** Returns how many crashes in a row a request is suspected of. */
  int crashes(RequestIdentity request) {
    return blame.crashes(request);
  }

  /**
   * Takes in that a run broke off, and finds out whether its target crashed.
   *
   * @param loop where to do so
   * @param address where the target answers
   * @param next called on the loop once that is known
   */
  void onBroken(EventLoop loop, CrashedRun run, InetSocketAddress address, Runnable next) {
    tell(blame.onBroken(run));
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
        .handler(new ChannelInboundHandlerAdapter())
        .connect(address)
        .addListener(
            (ChannelFuture connected) -> {
              connected.channel().close();
              if (isRefused(connected.cause())) {
                onLifeEnded(run.targetLife());
              }
              loop.execute(next);
            });
  }

  /** Takes in that a run was given up because nothing came from its target any more. */
  void onSilent(CrashedRun run) {
    tell(blame.onBroken(run));
  }

  /** Takes in that a target answered a request. */
  void onAnswered(Supplier<RequestIdentity> request) {
    if (blame.suspectsAny() && blame.onCompleted(request.get())) {
      broadcast.accept(CrashMessages.cleared(request.get()));
    }
  }

  /** Takes in that a life of a target ended without notice. */
  public void onLifeEnded(String targetLife) {
    tell(blame.onCrashed(targetLife));
  }

  /**
   * Takes in what another entry found.
   *
   * @return whether it was news, which others may not have heard
   */
  public boolean onTold(CrashReport report) {
    long now = MonotonicClock.millis();
    List<CrashedRun> runs =
        report.getRunsList().stream()
            .map(message -> CrashMessages.run(message, now))
            .filter(blame::onTold)
            .toList();
    runs.forEach(run -> log("crash.told", run));
    long cleared =
        report.getClearedList().stream()
            .map(RequestIdentity::new)
            .filter(blame::onCompleted)
            .count();
    return !runs.isEmpty() || cleared > 0;
  }

  /** Returns all that is suspected, to tell an entry that has just started. */
  public Optional<Frame> snapshot() {
    List<CrashedRun> all = blame.all();
    return all.isEmpty()
        ? Optional.empty()
        : Optional.of(CrashMessages.crashed(all, MonotonicClock.millis()));
  }

  private void tell(List<CrashedRun> news) {
    if (news.isEmpty()) {
      return;
    }
    news.forEach(run -> log("crash.suspected", run));
    broadcast.accept(CrashMessages.crashed(news, MonotonicClock.millis()));
  }

  private void log(String event, CrashedRun run) {
    logger.atInfo().log(
        "%s",
        LogEvent.of(event)
            .with("identity", run.request().digest())
            .with("target_life", run.targetLife())
            .with("ran_ms", run.brokenAt() - run.sentAt())
            .with("crashes", blame.crashes(run.request())));
  }

  private static boolean isRefused(Throwable cause) {
    return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
  }
}
