package dev.ibishub.gateway.experts;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.runtime.MonotonicClock;
import dev.ibishub.wire.Link;
import dev.ibishub.wire.LinkListener;
import dev.ibishub.wire.generated.Frame;
import dev.ibishub.wire.generated.RankOrderCall;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Stands beside one target: tells entries how it is, and passes the leading entry's orders on. It
 * decides nothing and remembers nothing that matters, so it may end at any time. Thread-safe.
 */
public final class RankAgent implements LinkListener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** How long a leader's wish for picks holds, milliseconds. */
  static final long WATCH_MILLIS = 1_500;

  /** A report that says nothing new is sent again after this long, milliseconds. */
  private static final long REPEAT_MILLIS = 300;

  /**
   * Time between two reports to an entry that does not lead, milliseconds. Such an entry only wants
   * the load, to which it adds what it sent itself; a report for each pass would cost 16 agents and
   * 7 entries some 2,000 messages a second.
   */
  private static final long PLAIN_REPORT_MILLIS = 100;

  /**
   * How long after an order the engine's state is read each time that {@link #readState} is called,
   * milliseconds. Copying for a map and switching to it take some 300; a leader waits for each word
   * then. At other times a reading for each plain report does.
   */
  private static final long ORDERED_MILLIS = 500;

  /** A reading that falls due within this is done now: the timer comes each 45 ms only. */
  private static final long EARLY_MILLIS = 15;

  private final RankEngine engine;
  private final Set<Link> links = ConcurrentHashMap.newKeySet();
  private final Set<Watcher> watchers = ConcurrentHashMap.newKeySet();
  private final AtomicBoolean isReadingState = new AtomicBoolean();
  private final AtomicBoolean isReadingPicks = new AtomicBoolean();
  private volatile RankState lastState;
  private volatile long lastReadAt;
  private volatile long orderedAt = Long.MIN_VALUE / 2;
  private volatile long lastReportAt;
  private volatile long lastPlainReportAt;
  private volatile int lastPlainRequests = -1;
  private volatile boolean lastPlainOpen = true;
  private volatile long reportedMapVersion = -1;
  private volatile long reportedMapEpoch = -1;
  private volatile boolean isReachable = true;

  private record Watcher(Link link, long until) {}

  public RankAgent(RankEngine engine) {
    this.engine = engine;
  }

  /** Reads the engine's state and tells it to the entries. To be called often. */
  public void readState() {
    long now = MonotonicClock.millis();
    boolean isDue =
        now - orderedAt <= ORDERED_MILLIS || now - lastReadAt >= PLAIN_REPORT_MILLIS - EARLY_MILLIS;
    if (!isDue || links.isEmpty() || !isReadingState.compareAndSet(false, true)) {
      return;
    }
    lastReadAt = now;
    engine.state().whenComplete(this::onState);
  }

  /** Reads what the engine's requests chose, where a leader wants to know. To be called often. */
  public void readPicks() {
    long now = MonotonicClock.millis();
    watchers.removeIf(watcher -> watcher.until() < now || !watcher.link().isOpen());
    if (watchers.isEmpty() || !isReadingPicks.compareAndSet(false, true)) {
      return;
    }
    engine
        .picks()
        .whenComplete(
            (picks, failure) -> {
              isReadingPicks.set(false);
              if (failure == null) {
                Frame frame = RankMessages.picks(picks);
                watchers.forEach(watcher -> watcher.link().offer(frame));
              }
            });
    readMapIfNew();
  }

  @Override
  public void onOpen(Link link) {
    links.add(link);
    RankState known = lastState;
    if (known != null) {
      link.offer(RankMessages.report(known));
    }
  }

  @Override
  public void onFrame(Link link, Frame frame) {
    switch (frame.getBodyCase()) {
      case RANK_WATCH -> onWatch(link);
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

  private void onWatch(Link link) {
    boolean isNew = watchers.stream().noneMatch(watcher -> watcher.link().equals(link));
    watchers.removeIf(watcher -> watcher.link().equals(link));
    watchers.add(new Watcher(link, MonotonicClock.millis() + WATCH_MILLIS));
    if (isNew) {
      reportedMapVersion = -1;
    }
  }

  private void onOrder(Link link, RankOrderCall call) {
    orderedAt = MonotonicClock.millis();
    RankOrder order = RankMessages.order(call);
    engine
        .order(order)
        .thenAccept(
            result -> {
              link.offer(RankMessages.reply(call.getCallId(), result));
              readState();
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
    tell(state, MonotonicClock.millis());
  }

  private void tell(RankState state, long now) {
    Frame frame = RankMessages.report(state);
    if (!state.equals(lastState) || now - lastReportAt >= REPEAT_MILLIS) {
      lastReportAt = now;
      watchers.forEach(watcher -> watcher.link().offer(frame));
    }
    lastState = state;
    long sincePlain = now - lastPlainReportAt;
    boolean hasNewLoad = state.requests() != lastPlainRequests || state.isOpen() != lastPlainOpen;
    boolean isPlainDue = sincePlain >= PLAIN_REPORT_MILLIS - EARLY_MILLIS;
    if (sincePlain >= REPEAT_MILLIS || (hasNewLoad && isPlainDue)) {
      lastPlainReportAt = now;
      lastPlainRequests = state.requests();
      lastPlainOpen = state.isOpen();
      links.stream().filter(link -> !isWatching(link)).forEach(link -> link.offer(frame));
    }
  }

  private boolean isWatching(Link link) {
    return watchers.stream().anyMatch(watcher -> watcher.link().equals(link));
  }

  private void readMapIfNew() {
    RankState state = lastState;
    if (state == null || state.membership().isEmpty()) {
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
