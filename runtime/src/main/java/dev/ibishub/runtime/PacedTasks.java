package dev.ibishub.runtime;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Runs tasks in order on an event loop that has other work as well, however many come at once. A
 * turn ends with the task that exceeds {@link #TURN_NANOS}, and over time the tasks get at most
 * half of the loop. Thread-safe; tasks run on the thread that offers them or on the scheduler's,
 * one at a time.
 *
 * <pre>{@code
 * TaskQueue queue = new PacedTasks(loop::schedule, System::nanoTime, 1 << 20);
 * boolean isAccepted = queue.offer(() -> merge(report), report.getSerializedSize());
 * }</pre>
 */
public final class PacedTasks implements TaskQueue {
  /** Time after which a turn begins no further task, nanoseconds. */
  static final long TURN_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

  /** How long the loop is left to its other work, in multiples of the time that tasks took. */
  private static final long REST_FACTOR = 1;

  private final Scheduler scheduler;
  private final LongSupplier nanoTime;
  private final long maximumPendingBytes;
  private final Deque<Pending> pending = new ArrayDeque<>();
  private long pendingBytes;
  private boolean isTurnDue;

  /** When the loop's other work will have had its part of the time, on the clock of nanoTime. */
  private long restsUntil;

  /** Runs a task on the event loop later. */
  @FunctionalInterface
  public interface Scheduler {
    /** Runs a task after a delay. */
    void schedule(Runnable task, long delay, TimeUnit unit);
  }

  private record Pending(Runnable task, long bytes) {}

  /**
   * Creates a queue without tasks.
   *
   * @param scheduler runs the later turns
   * @param nanoTime a monotonic clock, nanoseconds
   * @param maximumPendingBytes the memory that waiting tasks may hold together
   */
  public PacedTasks(Scheduler scheduler, LongSupplier nanoTime, long maximumPendingBytes) {
    this.scheduler = scheduler;
    this.nanoTime = nanoTime;
    this.maximumPendingBytes = maximumPendingBytes;
    this.restsUntil = nanoTime.getAsLong();
  }

  @Override
  public boolean offer(Runnable task, long bytes) {
    synchronized (this) {
      if (bytes > 0 && pendingBytes + bytes > maximumPendingBytes) {
        return false;
      }
      pending.addLast(new Pending(task, bytes));
      pendingBytes += bytes;
      if (isTurnDue) {
        return true;
      }
      isTurnDue = true;
    }
    runTurn();
    return true;
  }

  private void runTurn() {
    for (Optional<Pending> next = next(); next.isPresent(); next = next()) {
      long startedAt = nanoTime.getAsLong();
      IndependentSteps.run("paced task", List.of(next.get().task()));
      onRun(startedAt, nanoTime.getAsLong());
    }
  }

  private synchronized void onRun(long startedAt, long now) {
    restsUntil = Math.max(restsUntil, startedAt) + (1 + REST_FACTOR) * (now - startedAt);
  }

  /** Returns the next task of this turn; empty if the turn is over. */
  private synchronized Optional<Pending> next() {
    if (pending.isEmpty()) {
      isTurnDue = false;
      return Optional.empty();
    }
    long now = nanoTime.getAsLong();
    if (restsUntil - now > REST_FACTOR * TURN_NANOS) {
      scheduler.schedule(this::runTurn, restsUntil - now, TimeUnit.NANOSECONDS);
      return Optional.empty();
    }
    Pending next = pending.removeFirst();
    pendingBytes -= next.bytes();
    return Optional.of(next);
  }
}
