package dev.ibishub.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.HistogramSnapshot;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

final class EventLoopMonitorTest {
  private static final long DUE = 10_000;
  private static final long LATE = DUE + EventLoopMonitor.LATE_MILLIS;

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final EventLoopMonitor monitor = new EventLoopMonitor(registry);

  private HistogramSnapshot.HistogramDataPointSnapshot delays() {
    return registry.scrape().stream()
        .filter(HistogramSnapshot.class::isInstance)
        .map(HistogramSnapshot.class::cast)
        .findFirst()
        .orElseThrow()
        .getDataPoints()
        .get(0);
  }

  // Guards against delays that are counted from another task than the one that was due.
  @Test
  void delayIsTimeFromDueToRun() {
    monitor.onTask(DUE - 100);
    monitor.onNextTask(DUE);
    monitor.onTask(DUE + 300);
    monitor.onTask(DUE + 900);

    assertThat(delays().getCount()).isEqualTo(1);
    assertThat(delays().getSum()).isEqualTo(0.3);
  }

  // Guards against a line at each look while one task holds the loop.
  @Test
  void heldLoopIsLoggedOnce() {
    monitor.onTask(DUE - 100);
    monitor.onNextTask(DUE);

    assertThat(monitor.look(LATE - 1, LATE - 1)).isFalse();
    assertThat(monitor.look(LATE, LATE)).isTrue();
    assertThat(monitor.look(LATE + 100, LATE + 100)).isFalse();
  }

  // Guards against a loop that counts as held because nothing is due on it.
  @Test
  void loopWithoutDueTaskIsNotHeld() {
    assertThat(monitor.look(LATE, LATE)).isFalse();

    monitor.onTask(DUE);
    monitor.onNextTask(LATE);

    assertThat(monitor.look(LATE, LATE)).isFalse();
  }

  // Guards against a process whose event loop stands still for good, and whose log doesn't say so.
  // The loop was stopped by the very task that the monitor took as run once it had begun.
  @Test
  void taskThatDoesNotEndHoldsLoop() {
    monitor.onTask(DUE);

    assertThat(monitor.look(LATE - 1, LATE - 1)).isFalse();
    assertThat(monitor.look(LATE, LATE)).isTrue();
  }

  // Guards against a log in which a loop that stands still for good looks like a slow one.
  @Test
  void heldLoopIsLoggedAgainWhenItsDelayHasDoubled() {
    monitor.onTask(DUE - 100);
    monitor.onNextTask(DUE);
    monitor.look(LATE, LATE);

    long doubled = LATE + EventLoopMonitor.LATE_MILLIS;
    assertThat(monitor.look(doubled - 1, doubled - 1)).isFalse();
    assertThat(monitor.look(doubled, doubled)).isTrue();
    assertThat(monitor.look(doubled + 100, doubled + 100)).isFalse();
  }

  // Guards against a deadlock that can't be told from a loop that is busy or waits for a while.
  @Test
  void deadlockNamesLockAndItsHolder() throws InterruptedException {
    Object first = new Object();
    Object second = new Object();
    CountDownLatch bothHold = new CountDownLatch(2);
    Thread loop =
        startDaemon(
            "loop",
            () -> {
              monitor.onTask(DUE);
              lockInOrder(first, second, bothHold);
            });
    Thread other = startDaemon("other", () -> lockInOrder(second, first, bothHold));
    while (loop.getState() != Thread.State.BLOCKED || other.getState() != Thread.State.BLOCKED) {
      Thread.sleep(1);
    }

    assertThat(monitor.describe(DUE, LATE, LATE).toString())
        .contains(" state=BLOCKED ", " held_by=other ", " deadlock=true")
        .contains(" waits_for=java.lang.Object@")
        .containsPattern("holder_at=\"[^\"]*lockInOrder");
  }

  private static Thread startDaemon(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private static void lockInOrder(Object outer, Object inner, CountDownLatch bothHold) {
    synchronized (outer) {
      bothHold.countDown();
      try {
        bothHold.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      synchronized (inner) {
        bothHold.countDown();
      }
    }
  }
}
