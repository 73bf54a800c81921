package dev.ibishub.agent;

import dev.ibishub.core.AnswerEnd;
import java.util.concurrent.CompletableFuture;

/** What stands behind the agent: runs attempts that have started. */
interface Backend {
  /**
   * Runs an attempt; pieces of the answer go to {@link Attempt#append}.
   *
   * @return the end of the answer; fails with a {@code ResultException}, whose code says "not run"
   *     only where that is sure
   */
  CompletableFuture<AnswerEnd> run(Attempt attempt);

  /** Stops an attempt that runs, as far as what stands behind can be stopped. */
  void cancel(Attempt attempt);
}
