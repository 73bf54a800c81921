package dev.ibishub.agent;

import dev.ibishub.core.AnswerEnd;
import java.util.concurrent.CompletableFuture;

/** The target behind the agent, which runs attempts that have started. */
interface Backend {
  /**
   * Runs an attempt and passes the pieces of its answer to {@link Attempt#append}.
   *
   * @return the end of the answer; fails with a {@code ResultException}, whose code means "not run"
   *     only if the call certainly did not run
   */
  CompletableFuture<AnswerEnd> run(Attempt attempt);

  /** Stops a running attempt, if the target supports that. */
  void cancel(Attempt attempt);
}
