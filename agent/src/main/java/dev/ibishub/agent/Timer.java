package dev.ibishub.agent;

import java.time.Instant;
import java.time.InstantSource;
import java.time.temporal.ChronoUnit;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Runs tasks at a time, or soon after it. */
@FunctionalInterface
public interface Timer {
  /**
   * Runs a task on another thread's stack, never within this call.
   *
   * @param when the earliest time
   * @param task what to run
   */
  void at(Instant when, Runnable task);

  /**
   * Makes a timer of an executor.
   *
   * @param executor runs the tasks
   * @param clock the time
   * @return the timer
   */
  static Timer on(ScheduledExecutorService executor, InstantSource clock) {
    return (when, task) -> {
      long delay = Math.max(0, clock.instant().until(when, ChronoUnit.MICROS));
      var unused = executor.schedule(task, delay, TimeUnit.MICROSECONDS);
    };
  }
}
