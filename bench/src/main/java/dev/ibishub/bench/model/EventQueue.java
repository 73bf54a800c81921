package dev.ibishub.bench.model;

import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** A simulated clock that runs scheduled actions in the order of their times. Not thread-safe. */
public final class EventQueue {
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final double NANOS_PER_SECOND = 1e9;

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingDouble(Event::seconds).thenComparingLong(Event::number));
  private double now;
  private long scheduled;

  /** Returns the seconds since the start. */
  public double seconds() {
    return now;
  }

  /** Returns the current simulated time. */
  public Instant now() {
    return instant(now);
  }

  /** Returns the instant at the given number of seconds after the start. */
  public Instant instant(double seconds) {
    return START.plusNanos((long) (seconds * NANOS_PER_SECOND));
  }

  /** Schedules an action after a delay; a negative delay counts as 0. */
  public void after(double delaySeconds, Runnable action) {
    events.add(new Event(now + Math.max(0, delaySeconds), scheduled++, action));
  }

  /** Schedules an action at a fixed period, first after one period. */
  public void every(double periodSeconds, Runnable action) {
    after(
        periodSeconds,
        () -> {
          action.run();
          every(periodSeconds, action);
        });
  }

  /** Runs all actions that are due up to the given second, and advances the clock to it. */
  public void runUntil(double seconds) {
    while (!events.isEmpty() && events.peek().seconds() <= seconds) {
      Event event = events.poll();
      now = event.seconds();
      event.action().run();
    }
    now = seconds;
  }

  private record Event(double seconds, long number, Runnable action) {}
}
