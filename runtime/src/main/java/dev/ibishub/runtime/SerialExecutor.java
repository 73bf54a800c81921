package dev.ibishub.runtime;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.Executor;

/**
 * Runs tasks one at a time, in submission order, on the threads of another executor. A task that
 * fails is logged and keeps no other from running. Thread-safe; no lock is held while a task runs.
 */
public final class SerialExecutor implements Executor {
  private final Executor delegate;
  private final Queue<Runnable> queue = new ArrayDeque<>();
  private boolean running;

  /**
   * Creates an executor without tasks.
   *
   * @param delegate runs the tasks; {@code Runnable::run} to run them on the thread that submits
   *     the first of them
   */
  public SerialExecutor(Executor delegate) {
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
  public synchronized boolean hasQueuedTasks() {
    return !queue.isEmpty();
  }

  private void runAll() {
    Runnable next = next();
    while (next != null) {
      IndependentSteps.run("serial task", List.of(next));
      next = next();
    }
  }

  private synchronized Runnable next() {
    Runnable next = queue.poll();
    running = next != null;
    return next;
  }
}
