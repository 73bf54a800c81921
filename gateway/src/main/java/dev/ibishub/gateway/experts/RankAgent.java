package dev.ibishub.gateway.experts;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.runtime.MonotonicClock;
import dev.ibishub.wire.Link;
import dev.ibishub.wire.LinkListener;
import dev.ibishub.wire.generated.Frame;
import dev.ibishub.wire.generated.RankOrderCall;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The agent beside one target: reports the state of the target's engine to entries, and passes the
 * leader's orders on to it. It makes no decisions and keeps no state that must survive, so it may
 * stop at any time. Thread-safe.
 *
 * <p>Used on the platform of ibishub's users; the counterpart behind ibishub's own interface is
 * {@code dev.ibishub.agent.Agent}.
 */
public final class RankAgent implements LinkListener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** How long a leader's watch on this agent lasts without a renewal, milliseconds. */
  static final long WATCH_LEASE_MILLIS = 3_000;

  /**
   * Interval between two load reports, milliseconds. A target gets some three requests a second, so
   * in an interval it gets less than one that the reader has not sent itself. Reports take most of
   * the processor time of agents, and agents most of that of the fleet.
   */
  private static final long REPORT_MILLIS = 200;

  /**
   * How long to wait for the effect of an order to show, milliseconds. Copying for a map takes some
   * 500; an order that was not carried out by then may never be.
   */
  private static final long EFFECT_TIMEOUT_MILLIS = 600;

  /**
   * Interval between two polls of the engine while the effect of an order is awaited, milliseconds.
   * The leader waits for each of these reports, and passes take 45 or more.
   */
  private static final long EFFECT_POLL_MILLIS = 45;

  /** Interval between two readings of the expert counts, milliseconds. */
  private static final long PICKS_MILLIS = REPORT_MILLIS;

  /** Work that is due within this time is done now, as timers fire slightly late. Milliseconds. */
  private static final long TIMER_SLACK_MILLIS = 15;

  private final RankEngine engine;
  private final Runnable requestPoll;
  private final Set<Link> links = ConcurrentHashMap.newKeySet();
  private final List<Watcher> watchers = new CopyOnWriteArrayList<>();
  private final AtomicBoolean isReadingState = new AtomicBoolean();
  private final AtomicBoolean isReadingPicks = new AtomicBoolean();
  private volatile RankState lastState;
  private volatile long lastPicksAt;
  private volatile Optional<PendingEffect> pendingEffect = Optional.empty();
  private volatile long lastReportAt;
  private volatile long reportedMapVersion = -1;
  private volatile long reportedMapEpoch = -1;
  private volatile boolean isReachable = true;

  /** An entry that wants every report and map, and the expert counts if it says so. */
  private record Watcher(Link link, long expiresAt, boolean wantsPicks) {}

  /** The effect of an order that the engine's state does not show yet. */
  private record PendingEffect(RankOrder order, long expiresAt) {
    boolean isVisibleIn(RankState state) {
      return state.membership().map(this::isVisibleIn).orElse(true);
    }

    private boolean isVisibleIn(RankState.Membership membership) {
      return switch (order.kind()) {
        case PREPARE -> membership.preparedVersion() == order.version();
        case ARM -> membership.mapVersion() == order.version();
        case DISARM, HOLD, RELEASE -> true;
      };
    }
  }

  /**
   * Creates an agent without links.
   *
   * @param engine the engine of the target
   * @param requestPoll called when {@link #poll} is due at once
   */
  public RankAgent(RankEngine engine, Runnable requestPoll) {
    this.engine = engine;
    this.requestPoll = requestPoll;
  }

  /** Reads from the engine what is due, and reports it to the entries. */
  public void poll() {
    long now = MonotonicClock.millis();
    readState();
    if (now - lastPicksAt >= PICKS_MILLIS - TIMER_SLACK_MILLIS) {
      lastPicksAt = now;
      readPicks(now);
    }
  }

  /** Returns the delay until the next call of {@link #poll}, milliseconds. */
  public long untilNextPollMillis() {
    long now = MonotonicClock.millis();
    boolean isAwaiting = pendingEffect.map(effect -> now <= effect.expiresAt()).orElse(false);
    return isAwaiting ? EFFECT_POLL_MILLIS : REPORT_MILLIS;
  }

  private void readState() {
    if (links.isEmpty() || !isReadingState.compareAndSet(false, true)) {
      return;
    }
    engine.state().whenComplete(this::onState);
  }

  /** Reads the expert counts if a leader wants them. */
  private void readPicks(long now) {
    watchers.removeIf(watcher -> watcher.expiresAt() < now || !watcher.link().isOpen());
    if (watchers.stream().noneMatch(Watcher::wantsPicks)
        || !isReadingPicks.compareAndSet(false, true)) {
      return;
    }
    engine
        .picks()
        .whenComplete(
            (picks, failure) -> {
              isReadingPicks.set(false);
              if (failure == null) {
                Frame frame = RankMessages.picks(picks);
                watchers.stream()
                    .filter(Watcher::wantsPicks)
                    .forEach(watcher -> watcher.link().offer(frame));
              }
            });
  }

  @Override
  public void onOpen(Link link) {
    links.add(link);
    RankState known = lastState;
    if (known != null) {
      link.offer(RankMessages.report(known));
    }
    // An entry that has just started knows no loads until the first report arrives.
    requestPoll.run();
  }

  @Override
  public void onFrame(Link link, Frame frame) {
    switch (frame.getBodyCase()) {
      case RANK_WATCH -> onWatch(link, !frame.getRankWatch().getWithoutPicks());
      case RANK_ORDER_CALL -> onOrder(link, frame.getRankOrderCall());
      default ->
          logger.atWarning().log(
              "%s", LogEvent.of("link.unexpected").with("frame", frame.getBodyCase()));
    }
  }

  @Override
  public void onClose(Link link) {
    links.remove(link);
  }

  private void onWatch(Link link, boolean wantsPicks) {
    boolean isNew = watchers.stream().noneMatch(watcher -> watcher.link().equals(link));
    watchers.removeIf(watcher -> watcher.link().equals(link));
    watchers.add(new Watcher(link, MonotonicClock.millis() + WATCH_LEASE_MILLIS, wantsPicks));
    if (isNew) {
      // A leader that has just taken over needs the state and the map before it can act.
      reportedMapVersion = -1;
      requestPoll.run();
    }
  }

  private void onOrder(Link link, RankOrderCall call) {
    RankOrder order = RankMessages.order(call);
    engine
        .order(order)
        .thenAccept(
            result -> {
              link.offer(RankMessages.reply(call.getCallId(), result));
              if (result == RankOrder.Result.DONE || result == RankOrder.Result.UNKNOWN) {
                pendingEffect =
                    Optional.of(
                        new PendingEffect(order, MonotonicClock.millis() + EFFECT_TIMEOUT_MILLIS));
              }
              requestPoll.run();
            });
  }

  private void onState(RankState state, Throwable failure) {
    isReadingState.set(false);
    if (failure != null) {
      if (isReachable) {
        isReachable = false;
        logger.atWarning().log("%s", LogEvent.of("engine.lost").with("cause", failure));
      }
      return;
    }
    if (!isReachable) {
      isReachable = true;
      logger.atInfo().log("%s", LogEvent.of("engine.back"));
    }
    if (pendingEffect.map(effect -> effect.isVisibleIn(state)).orElse(false)) {
      pendingEffect = Optional.empty();
    }
    sendReports(state, MonotonicClock.millis());
    readMapIfNew();
  }

  private void sendReports(RankState state, long now) {
    Frame frame = RankMessages.report(state);
    boolean isReportDue = now - lastReportAt >= REPORT_MILLIS - TIMER_SLACK_MILLIS;
    watchers.forEach(watcher -> watcher.link().offer(frame));
    lastState = state;
    if (isReportDue) {
      lastReportAt = now;
      links.stream().filter(link -> !isWatching(link)).forEach(link -> link.offer(frame));
    }
  }

  private boolean isWatching(Link link) {
    return watchers.stream().anyMatch(watcher -> watcher.link().equals(link));
  }

  private void readMapIfNew() {
    RankState state = lastState;
    if (watchers.isEmpty() || state == null || state.membership().isEmpty()) {
      return;
    }
    RankState.Membership membership = state.membership().get();
    if (membership.mapVersion() == reportedMapVersion && membership.epoch() == reportedMapEpoch) {
      return;
    }
    engine
        .map()
        .whenComplete(
            (map, failure) -> {
              if (failure != null) {
                logger.atInfo().log("%s", LogEvent.of("engine.map_unread").with("cause", failure));
                return;
              }
              reportedMapVersion = map.version();
              reportedMapEpoch = membership.epoch();
              Frame frame = RankMessages.map(map);
              watchers.forEach(watcher -> watcher.link().offer(frame));
            });
  }
}
