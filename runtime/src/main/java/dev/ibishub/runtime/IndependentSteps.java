package dev.ibishub.runtime;

import com.google.common.flogger.FluentLogger;
import java.util.List;

/**
 * Runs steps none of which may be left out because another one fails. Thread-safe.
 *
 * <pre>{@code
 * IndependentSteps.run("end of a request", List.of(connection::close, metrics::count));
 * }</pre>
 */
public final class IndependentSteps {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private IndependentSteps() {}

  /**
   * Runs all steps in order. A failure is logged.
   *
   * @param what what the steps do, for the log
   */
  public static void run(String what, List<Runnable> steps) {
    steps.forEach(step -> run(what, step));
  }

  private static void run(String what, Runnable step) {
    try {
      step.run();
    } catch (RuntimeException | OutOfMemoryError e) {
      // A step that copies a large body may find no memory while the others still can run.
      logger.atSevere().withCause(e).log(
          "%s", LogEvent.of("step.failed").with("of", what).with("cause", e));
    }
  }
}
