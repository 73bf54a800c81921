package dev.ibishub.entry;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executor;

/**
 * Runs tasks one at a time, in submission order, on the threads of another executor. Thread-safe.
 */
final class SerialExecutor implements Executor {
  private final Executor delegate;
  private final Queue<Runnable> queue = new ArrayDeque<>();
  private boolean running;

  SerialExecutor(Executor delegate) {
    this.delegate = delegate;
  }

  @Override
  public void execute(Runnable task) {
    synchronized (this) {
      queue.add(task);
      if (running) {
        return;
      }
      running = true;
    }
    delegate.execute(this::runAll);
  }

  /** Whether a task is queued behind the one that runs. */
  synchronized boolean hasQueuedTasks() {
    return !queue.isEmpty();
  }

  private void runAll() {
    Runnable next = next();
    while (next != null) {
      next.run();
      next = next();
    }
  }

  private synchronized Runnable next() {
    Runnable next = queue.poll();
    running = next != null;
    return next;
  }
}
