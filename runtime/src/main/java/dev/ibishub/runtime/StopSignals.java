package dev.ibishub.runtime;

import java.lang.reflect.Proxy;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/**
 * Stops a process as its operators expect: the first SIGTERM or SIGINT begins a graceful stop, a
 * second one ends the process at once.
 */
public final class StopSignals {
  /** Exit status after a second signal. */
  public static final int STOPPED_AT_ONCE = 130;

  private StopSignals() {}

  /**
   * Listens for the signals. A shutdown hook would not do: the JVM ignores a second signal while
   * hooks run, so that a process whose graceful stop hangs could only be killed.
   *
   * @param stop ends the process gracefully; runs once, on a thread of its own
   */
  public static void onStop(Runnable stop) {
    AtomicInteger received = new AtomicInteger();
    Runnable onSignal =
        () -> {
          if (received.getAndIncrement() == 0) {
            new Thread(stop, "graceful-stop").start();
            return;
          }
          Runtime.getRuntime().halt(STOPPED_AT_ONCE);
        };
    Stream.of("TERM", "INT").forEach(name -> handle(name, onSignal));
  }

  /**
   * Listens for SIGHUP, which tells a process to read its settings again.
   *
   * @param reload runs once for each signal, on the JVM's signal thread
   */
  public static void onReload(Runnable reload) {
    handle("HUP", reload);
  }

  /** Uses sun.misc.Signal by name: the class is supported, but to name it is a compiler warning. */
  private static void handle(String name, Runnable onSignal) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object running =
          Proxy.newProxyInstance(
              StopSignals.class.getClassLoader(),
              new Class<?>[] {handler},
              (proxy, method, arguments) -> {
                onSignal.run();
                return null;
              });
      signal
          .getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance(name), running);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("cannot listen for SIG" + name, e);
    }
  }
}
