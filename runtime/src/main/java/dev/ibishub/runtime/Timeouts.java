package dev.ibishub.runtime;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Completes futures that are not complete in time, on threads that the caller chooses. The timeouts
 * of {@link CompletableFuture} itself complete on one thread of the whole process: what follows
 * from them runs there beside the threads that own the state, and one that blocks stops the
 * timeouts of all others. Thread-safe.
 *
 * <pre>{@code
 * Timeouts timeouts = Timeouts.on(eventLoop);
 * CompletableFuture<Reply> reply = timeouts.complete(sent, Reply.UNKNOWN, 160);
 * }</pre>
 */
public final class Timeouts {
  private final ScheduledExecutorService timers;
  private final Executor executor;

  private Timeouts(ScheduledExecutorService timers, Executor executor) {
    this.timers = timers;
    this.executor = executor;
  }

  /**
   * Returns timeouts that complete futures on the event loop that owns what follows from them.
   *
   * @param eventLoop an executor with one thread
   */
  public static Timeouts on(ScheduledExecutorService eventLoop) {
    return on(eventLoop, Runnable::run);
  }

  /**
   * Returns timeouts that complete futures on the threads of an executor.
   *
   * @param timers measures the time; what follows from a timeout does not run there
   */
  public static Timeouts on(ScheduledExecutorService timers, Executor executor) {
    return new Timeouts(timers, executor);
  }

  /**
   * Completes a future with a value if nothing else has by then.
   *
   * @param timeoutMillis time from now, milliseconds
   * @return the future
   */
  public <T> CompletableFuture<T> complete(
      CompletableFuture<T> future, T value, long timeoutMillis) {
    return schedule(future, () -> future.complete(value), timeoutMillis);
  }

  /**
   * Fails a future with a {@link TimeoutException} if nothing has completed it by then.
   *
   * @param timeoutMillis time from now, milliseconds
   * @return the future
   */
  public <T> CompletableFuture<T> fail(CompletableFuture<T> future, long timeoutMillis) {
    return schedule(
        future, () -> future.completeExceptionally(new TimeoutException()), timeoutMillis);
  }

  private <T> CompletableFuture<T> schedule(
      CompletableFuture<T> future, Runnable onTimeout, long timeoutMillis) {
    ScheduledFuture<?> timer =
        timers.schedule(() -> executor.execute(onTimeout), timeoutMillis, TimeUnit.MILLISECONDS);
    future.whenComplete((value, failure) -> timer.cancel(false));
    return future;
  }
}
