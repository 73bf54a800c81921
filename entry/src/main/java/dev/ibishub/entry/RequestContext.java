package dev.ibishub.entry;

import dev.ibishub.core.RetryBudget;
import dev.ibishub.core.Router;
import dev.ibishub.wire.Link;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * Collaborators that all requests of an entry share, behind ibishub's own interface.
 *
 * @param zone failure domain of this entry
 * @param links links to the agents
 * @param linkTo returns the link to a target, connecting first if none is open
 * @param router chooses targets
 * @param retries limits the attempts beyond the first of each request
 * @param clock the time
 * @param timers runs tasks at a later time
 * @param threads runs the writes to callers, which may block
 * @param random randomness for the choice of targets
 */
record RequestContext(
    String zone,
    TargetLinks links,
    Function<String, CompletableFuture<Link>> linkTo,
    Router router,
    RetryBudget retries,
    InstantSource clock,
    Timers timers,
    Executor threads,
    RandomGenerator random) {
  /** Schedules a task to run on another thread, at a given time or soon after. */
  @FunctionalInterface
  interface Timers {
    void schedule(Instant when, Runnable task);
  }

  String streamName(CallerRequest request, String target, String attemptId) {
    var call = request.dispatch().getModelCall();
    return new StreamName(target, attemptId, request.servedName(), call.getChat()).encode();
  }
}
