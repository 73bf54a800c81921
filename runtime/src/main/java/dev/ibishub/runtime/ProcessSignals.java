package dev.ibishub.runtime;

import java.lang.reflect.Proxy;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/**
 * Handles the signals of a process: the first SIGTERM or SIGINT starts a graceful stop, a second
 * one exits at once, and SIGHUP reloads the settings.
 */
public final class ProcessSignals {
  /** Exit status after a second stop signal. */
  public static final int FORCED_STOP_STATUS = 130;

  private ProcessSignals() {}

  /**
   * Registers the handler of SIGTERM and SIGINT. A shutdown hook is not enough: the JVM ignores a
   * second signal while hooks run, so a process whose graceful stop hangs could only be killed.
   *
   * @param stop stops the process gracefully; runs once, on a thread of its own
   */
  public static void onStop(Runnable stop) {
    AtomicInteger signalCount = new AtomicInteger();
    Runnable onSignal =
        () -> {
          if (signalCount.getAndIncrement() == 0) {
            new Thread(stop, "graceful-stop").start();
            return;
          }
          Runtime.getRuntime().halt(FORCED_STOP_STATUS);
        };
    Stream.of("TERM", "INT").forEach(name -> register(name, onSignal));
  }

  /**
   * Registers the handler of SIGHUP, which tells a process to read its settings again.
   *
   * @param reload runs once per signal, on the JVM's signal thread
   */
  public static void onReload(Runnable reload) {
    register("HUP", reload);
  }

  /**
   * Uses sun.misc.Signal by reflection: the class is supported, but a direct reference to it causes
   * a compiler warning.
   */
  private static void register(String name, Runnable onSignal) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object signalHandler =
          Proxy.newProxyInstance(
              ProcessSignals.class.getClassLoader(),
              new Class<?>[] {handler},
              (proxy, method, arguments) -> {
                onSignal.run();
                return null;
              });
      signal
          .getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance(name), signalHandler);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("cannot listen for SIG" + name, e);
    }
  }
}
