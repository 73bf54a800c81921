package dev.ibishub.runtime;

import com.google.common.flogger.FluentLogger;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

/**
 * Measures how late an event loop runs the tasks that are due on it, and logs what held it when
 * that is long. Thread-safe.
 *
 * <p>The loop reports when its next task is due and when it runs it. A thread of its own looks at
 * the loop while that task is overdue or doesn't end, and logs where the loop is, and for a loop
 * that waits for a lock, which thread holds that and where. If the watching thread was as late
 * itself, the whole process stood still: it collected garbage, or got no processor.
 */
public final class EventLoopMonitor {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Delay from which a late loop is logged, milliseconds. */
  public static final long LATE_MILLIS = 250;

  /** Interval between two looks at the loop, milliseconds. */
  private static final long LOOK_MILLIS = 100;

  private static final int LOGGED_FRAMES = 12;
  private static final long NOTHING_DUE = Long.MAX_VALUE;

  private final Histogram delays;
  private volatile Thread loop;
  private volatile long dueAt = NOTHING_DUE;

  /** When the task was due that is overdue, or the running one began. */
  private volatile long heldSince = NOTHING_DUE;

  private volatile long loggedHeldSince = NOTHING_DUE;
  private volatile long nextLogAt;

  /**
   * Creates a monitor without a watching thread.
   *
   * @param registry where the metric is registered
   */
  public EventLoopMonitor(PrometheusRegistry registry) {
    delays =
        Histogram.builder()
            .name("ibishub_event_loop_delay_seconds")
            .help("Time from when a task was due on the event loop until it ran.")
            .classicOnly()
            .classicUpperBounds(0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 4)
            .register(registry);
  }

  /** Starts the thread that looks at the loop; it ends with the process. */
  public void startWatching() {
    Thread watcher = new Thread(this::watch, "loop-monitor");
    watcher.setDaemon(true);
    watcher.start();
  }

  /**
   * Takes in that the task that was due begins; called on the loop. Until {@link #onNextTask} the
   * loop counts as held by it.
   *
   * @param now current time of the monotonic clock, milliseconds
   */
  public void onTask(long now) {
    loop = Thread.currentThread();
    long due = dueAt;
    dueAt = NOTHING_DUE;
    heldSince = now;
    if (due == NOTHING_DUE) {
      return;
    }
    long late = Math.max(0, now - due);
    delays.observe(late / 1_000.0);
    if (late >= LATE_MILLIS) {
      logger.atWarning().log(
          "%s",
          LogEvent.of("loop.late").with("late_ms", late).with("watched", loggedHeldSince == due));
    }
  }

  /**
   * Sets when the next task is due, once the last one has ended; called on the loop.
   *
   * @param at on the monotonic clock, milliseconds
   */
  public void onNextTask(long at) {
    dueAt = at;
    heldSince = at;
  }

  /**
   * Logs where the loop is, if its task is overdue or doesn't end. While that is so it is logged
   * again each time that the delay has doubled.
   *
   * @param lookDueAt when this look was due, on the monotonic clock, milliseconds
   * @return whether it was logged
   */
  boolean look(long lookDueAt, long now) {
    if (!isLogDue(now)) {
      return false;
    }
    long since = heldSince;
    loggedHeldSince = since;
    nextLogAt = now + (now - since);
    logger.atWarning().log("%s", describe(since, lookDueAt, now));
    return true;
  }

  private boolean isLogDue(long now) {
    long since = heldSince;
    boolean isHeld = loop != null && since != NOTHING_DUE && now - since >= LATE_MILLIS;
    return isHeld && (since != loggedHeldSince || now >= nextLogAt);
  }

  /**
   * Returns the event of a held loop.
   *
   * @param since when its task was due or began, on the monotonic clock, milliseconds
   */
  LogEvent describe(long since, long lookDueAt, long now) {
    LogEvent event =
        LogEvent.of("loop.held")
            .with("late_ms", now - since)
            .with("watcher_late_ms", Math.max(0, now - lookDueAt))
            .with("state", loop.getState())
            .with("at", frames(loop.getStackTrace()));
    return loop.getState() == Thread.State.RUNNABLE ? event : withLockOwner(event);
  }

  /** Adds what the loop waits for, which thread holds that, and whether that one waits for it. */
  private LogEvent withLockOwner(LogEvent event) {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    Optional<ThreadInfo> waiting =
        Optional.ofNullable(threads.getThreadInfo(loop.getId()))
            .filter(info -> info.getLockOwnerId() >= 0);
    Optional<ThreadInfo> owner =
        waiting.map(info -> threads.getThreadInfo(info.getLockOwnerId(), LOGGED_FRAMES));
    if (waiting.isEmpty() || owner.isEmpty()) {
      return event;
    }
    return event
        .with("waits_for", waiting.get().getLockName())
        .with("held_by", owner.get().getThreadName())
        .with("holder_at", frames(owner.get().getStackTrace()))
        .with("deadlock", isDeadlocked(threads));
  }

  private boolean isDeadlocked(ThreadMXBean threads) {
    return Optional.ofNullable(threads.findDeadlockedThreads())
        .map(ids -> LongStream.of(ids).anyMatch(id -> id == loop.getId()))
        .orElse(false);
  }

  private static String frames(StackTraceElement[] frames) {
    return Arrays.stream(frames)
        .limit(LOGGED_FRAMES)
        .map(frame -> frame.getClassName() + "." + frame.getMethodName())
        .collect(Collectors.joining(" < "));
  }

  private void watch() {
    try {
      while (true) {
        long lookDueAt = MonotonicClock.millis() + LOOK_MILLIS;
        Thread.sleep(LOOK_MILLIS);
        look(lookDueAt, MonotonicClock.millis());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
