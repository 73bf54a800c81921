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
 * Stands beside one target: tells entries how it is, and passes the leading entry's orders on. It
 * decides nothing and remembers nothing that matters, so it may end at any time. Thread-safe.
 */
public final class RankAgent implements LinkListener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** How long a leader's word that it watches holds, milliseconds. */
  static final long WATCH_MILLIS = 3_000;

  /**
   * Time between two reports of the load, milliseconds. A target of today's deployments gets some
   * three requests a second, so less than one comes in that time that the reader has not sent
   * itself. Agents are most of the fleet's processor time, and most of theirs goes into this.
   */
  private static final long PLAIN_REPORT_MILLIS = 200;

  /**
   * How long the effect of an order is looked for at most, milliseconds. Copying for a map takes
   * some 500; an order that was not carried out by then may never be.
   */
  private static final long AWAITED_MILLIS = 600;

  /**
   * Time between two looks at the engine while the effect of an order is awaited, milliseconds; a
   * leader waits for each word then, and passes take 45 and more.
   */
  private static final long AWAITING_LOOK_MILLIS = 45;

  /** Time between two readings of what the engine's requests chose, milliseconds. */
  private static final long PICKS_MILLIS = PLAIN_REPORT_MILLIS;

  /** What falls due within this is done now, as timers are a little late. */
  private static final long EARLY_MILLIS = 15;

  private final RankEngine engine;
  private final Runnable onNews;
  private final Set<Link> links = ConcurrentHashMap.newKeySet();
  private final List<Watcher> watchers = new CopyOnWriteArrayList<>();
  private final AtomicBoolean isReadingState = new AtomicBoolean();
  private final AtomicBoolean isReadingPicks = new AtomicBoolean();
  private volatile RankState lastState;
  private volatile long lastPicksAt;
  private volatile Optional<AwaitedEffect> awaited = Optional.empty();
  private volatile long lastPlainReportAt;
  private volatile long reportedMapVersion = -1;
  private volatile long reportedMapEpoch = -1;
  private volatile boolean isReachable = true;

  private record Watcher(Link link, long until, boolean wantsPicks) {}

  /** What an order brings about, as the engine's state will show it. */
  private record AwaitedEffect(RankOrder order, long until) {
    boolean isSeenIn(RankState state) {
      return state.membership().map(this::isSeenIn).orElse(true);
    }

    private boolean isSeenIn(RankState.Membership place) {
      return switch (order.kind()) {
        case PREPARE -> place.preparedVersion() == order.version();
        case ARM -> place.mapVersion() == order.version();
        case DISARM, HOLD, RELEASE -> true;
      };
    }
  }

  /**
   * Creates an agent that nobody is linked to.
   *
   * @param onNews called when {@link #look} is due at once
   */
  public RankAgent(RankEngine engine, Runnable onNews) {
    this.engine = engine;
    this.onNews = onNews;
  }

  /** Reads what is due of the engine and tells it to the entries. */
  public void look() {
    long now = MonotonicClock.millis();
    readState();
    if (now - lastPicksAt >= PICKS_MILLIS - EARLY_MILLIS) {
      lastPicksAt = now;
      readPicks(now);
    }
  }

  /** Returns when {@link #look} is to be called again, milliseconds from now. */
  public long untilNextLookMillis() {
    long now = MonotonicClock.millis();
    boolean isAwaiting = awaited.map(effect -> now <= effect.until()).orElse(false);
    return isAwaiting ? AWAITING_LOOK_MILLIS : PLAIN_REPORT_MILLIS;
  }

  private void readState() {
    if (links.isEmpty() || !isReadingState.compareAndSet(false, true)) {
      return;
    }
    engine.state().whenComplete(this::onState);
  }

  /** Reads what the engine's requests chose, where a leader wants to know. */
  private void readPicks(long now) {
    watchers.removeIf(watcher -> watcher.until() < now || !watcher.link().isOpen());
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
    // Entries that have just started place requests blindly until the first report comes.
    onNews.run();
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
    watchers.add(new Watcher(link, MonotonicClock.millis() + WATCH_MILLIS, wantsPicks));
    if (isNew) {
      // A leader that has just taken over can do nothing before it knows state and map.
      reportedMapVersion = -1;
      onNews.run();
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
                awaited =
                    Optional.of(new AwaitedEffect(order, MonotonicClock.millis() + AWAITED_MILLIS));
              }
              onNews.run();
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
    if (awaited.map(effect -> effect.isSeenIn(state)).orElse(false)) {
      awaited = Optional.empty();
    }
    tell(state, MonotonicClock.millis());
    readMapIfNew();
  }

  private void tell(RankState state, long now) {
    Frame frame = RankMessages.report(state);
    boolean isPlainDue = now - lastPlainReportAt >= PLAIN_REPORT_MILLIS - EARLY_MILLIS;
    watchers.forEach(watcher -> watcher.link().offer(frame));
    lastState = state;
    if (isPlainDue) {
      lastPlainReportAt = now;
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
    RankState.Membership place = state.membership().get();
    if (place.mapVersion() == reportedMapVersion && place.epoch() == reportedMapEpoch) {
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
              reportedMapEpoch = place.epoch();
              Frame frame = RankMessages.map(map);
              watchers.forEach(watcher -> watcher.link().offer(frame));
            });
  }
}
