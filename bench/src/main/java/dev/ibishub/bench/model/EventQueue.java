package dev.ibishub.bench.model;

import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** The clock of a bench: it runs actions in the order of their times. Not thread-safe. */
public final class EventQueue {
  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final double NANOS = 1e9;

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingDouble(Event::seconds).thenComparingLong(Event::number));
  private double now;
  private long scheduled;

  /** Seconds since the start. */
  public double seconds() {
    return now;
  }

  /** The current time. */
  public Instant now() {
    return instant(now);
  }

  /** The instant at so many seconds since the start. */
  public Instant instant(double seconds) {
    return START.plusNanos((long) (seconds * NANOS));
  }

  /** Runs an action so many seconds from now. */
  public void after(double delaySeconds, Runnable action) {
    events.add(new Event(now + Math.max(0, delaySeconds), scheduled++, action));
  }

  /** Runs an action every so many seconds from now on. */
  public void every(double periodSeconds, Runnable action) {
    after(
        periodSeconds,
        () -> {
          action.run();
          every(periodSeconds, action);
        });
  }

  /** Runs all actions up to the given time. */
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
