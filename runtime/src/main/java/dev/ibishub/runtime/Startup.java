package dev.ibishub.runtime;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.Callable;

/** Starts the main component of a process, and exits the process when that fails. */
public final class Startup {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Exit status of a process that failed to start. */
  private static final int START_FAILED_STATUS = 1;

  private Startup() {}

  /**
   * Runs the given start action and exits the process when it throws, for example because a port is
   * in use.
   *
   * <p>Without the exit, the main thread would end while threads started earlier keep the process
   * alive: other processes would still receive its messages, and a supervisor, which restarts only
   * processes that have exited, would leave it running although it serves no requests.
   *
   * <pre>{@code
   * Entry entry = Startup.startOrExit(() -> Entry.start(settings));
   * }</pre>
   *
   * @param start starts the component
   * @return what {@code start} returned
   */
  public static <T> T startOrExit(Callable<T> start) {
    try {
      return start.call();
    } catch (Exception e) {
      // Includes checked exceptions that nothing declares: Netty throws a BindException that way.
      logger.atSevere().withCause(e).log("%s", LogEvent.of("start.failed"));
      System.exit(START_FAILED_STATUS);
      throw new IllegalStateException("the process has not ended", e);
    }
  }
}
