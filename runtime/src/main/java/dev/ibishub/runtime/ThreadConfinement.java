package dev.ibishub.runtime;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Checks that all methods of an object without locks are called by one thread: the first one that
 * calls any of them. A call of another one is logged besides, as what follows from a future drops
 * what is thrown. Thread-safe.
 *
 * <pre>{@code
 * private final ThreadConfinement confinement = new ThreadConfinement();
 *
 * void tick(long now) {
 *   confinement.check();
 *   ...
 * }
 * }</pre>
 */
public final class ThreadConfinement {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final AtomicReference<Thread> owner = new AtomicReference<>();

  /**
   * Makes the first thread that calls this the owner.
   *
   * @throws IllegalStateException when another thread calls
   */
  public void check() {
    Thread current = Thread.currentThread();
    Thread known = owner.get();
    if (known == null) {
      owner.compareAndSet(null, current);
      known = owner.get();
    }
    if (known != current) {
      IllegalStateException failure =
          new IllegalStateException(
              "called by " + current.getName() + ", but owned by " + known.getName());
      logger.atSevere().atMostEvery(1, TimeUnit.SECONDS).withCause(failure).log(
          "%s",
          LogEvent.of("thread.rejected")
              .with("thread", current.getName())
              .with("owner", known.getName()));
      throw failure;
    }
  }
}
