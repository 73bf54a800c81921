package dev.ibishub.runtime;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Checks that all methods of an object without locks are called by one thread: the first one that
 * calls any of them. Thread-safe.
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
      throw new IllegalStateException(
          "called by " + current.getName() + ", but owned by " + known.getName());
    }
  }
}
