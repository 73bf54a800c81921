package dev.ibishub.runtime;

import com.google.common.flogger.FluentLogger;

/**
 * Ends the process when a thread ends with an error of the JVM, such as a lack of memory. Without
 * that, the process would go on without the thread, for instance without an event loop, and a
 * supervisor, which restarts only processes that have exited, would leave it so.
 */
public final class FatalErrors {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Exit status after an error of the JVM; that of {@code -XX:+ExitOnOutOfMemoryError}. */
  static final int FATAL_ERROR_STATUS = 3;

  private FatalErrors() {}

  /** Ends the process with status 3 and a line in the log on such an error in any thread. */
  public static void exitOnError() {
    Thread.setDefaultUncaughtExceptionHandler(FatalErrors::onUncaught);
  }

  private static void onUncaught(Thread thread, Throwable cause) {
    if (!(cause instanceof VirtualMachineError)) {
      logger.atSevere().withCause(cause).log(
          "%s", LogEvent.of("thread.failed").with("thread", thread.getName()));
      return;
    }
    try {
      System.err.println(
          LogEvent.of("process.failed").with("thread", thread.getName()).with("cause", cause));
    } finally {
      // Shutdown hooks may need the memory that lacks.
      Runtime.getRuntime().halt(FATAL_ERROR_STATUS);
    }
  }
}
