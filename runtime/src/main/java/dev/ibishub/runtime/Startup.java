package dev.ibishub.runtime;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.Callable;

/** Starts what a process is there for. */
public final class Startup {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Exit status of a process that could not start. */
  private static final int FAILED = 1;

  private Startup() {}

  /**
   * Starts, and ends the process where that fails, for instance since a port is taken.
   *
   * <p>Guards against a process that lives and serves nobody: the main thread ends with the
   * failure, threads that were started before go on, others hear the process, and whoever restarts
   * processes restarts only those that have ended.
   *
   * <pre>{@code
   * Entry entry = Startup.orEnd(() -> Entry.start(settings));
   * }</pre>
   *
   * @return what was started
   */
  public static <T> T orEnd(Callable<T> start) {
    try {
      return start.call();
    } catch (Exception e) {
      // Also checked ones that nothing declares: Netty throws a port that is taken as such.
      logger.atSevere().withCause(e).log("%s", LogEvent.of("start.failed"));
      System.exit(FAILED);
      throw new IllegalStateException("the process has not ended", e);
    }
  }
}
