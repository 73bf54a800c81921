package dev.ibishub.agent;

import java.time.Instant;
import java.time.InstantSource;
import java.time.temporal.ChronoUnit;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Schedules tasks for a given time. */
@FunctionalInterface
public interface Timer {
  /**
   * Schedules a task. The task never runs within this call.
   *
   * @param when the earliest time at which the task runs; at once if it has passed
   * @param task the task to run
   */
  void at(Instant when, Runnable task);

  /**
   * Creates a timer that runs its tasks on an executor.
   *
   * @param executor runs the tasks
   * @param clock the source of the current time
   * @return the timer
   */
  static Timer on(ScheduledExecutorService executor, InstantSource clock) {
    return (when, task) -> {
      long delay = Math.max(0, clock.instant().until(when, ChronoUnit.MICROS));
      var unused = executor.schedule(task, delay, TimeUnit.MICROSECONDS);
    };
  }
}
