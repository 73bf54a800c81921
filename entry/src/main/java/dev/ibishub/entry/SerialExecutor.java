package dev.ibishub.entry;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executor;

/** Runs tasks one after the other, in order, on threads of another executor. Thread-safe. */
final class SerialExecutor implements Executor {
  private final Executor threads;
  private final Queue<Runnable> waiting = new ArrayDeque<>();
  private boolean running;

  SerialExecutor(Executor threads) {
    this.threads = threads;
  }

  @Override
  public void execute(Runnable task) {
    synchronized (this) {
      waiting.add(task);
      if (running) {
        return;
      }
      running = true;
    }
    threads.execute(this::runAll);
  }

  /** Whether another task waits behind the one that runs. */
  synchronized boolean hasWaiting() {
    return !waiting.isEmpty();
  }

  private void runAll() {
    Runnable next = next();
    while (next != null) {
      next.run();
      next = next();
    }
  }

  private synchronized Runnable next() {
    Runnable next = waiting.poll();
    running = next != null;
    return next;
  }
}
