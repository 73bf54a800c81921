package dev.ibishub.runtime;

/** Takes tasks that may have to wait. */
@FunctionalInterface
public interface TaskQueue {
  /** Runs each task at once, on the thread that offers it. */
  TaskQueue IMMEDIATE =
      (task, bytes) -> {
        task.run();
        return true;
      };

  /**
   * Runs a task after all that were accepted before, perhaps before this method returns.
   *
   * @param bytes the memory that the task holds while it waits; a task that holds none is never
   *     rejected
   * @return false if the task was rejected, as too many wait
   */
  boolean offer(Runnable task, long bytes);
}
