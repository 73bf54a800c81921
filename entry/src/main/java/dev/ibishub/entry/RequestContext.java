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
 * What all requests of an entry share.
 *
 * @param zone of this entry
 * @param links to the agents
 * @param linkTo opens a link to a target, also one that this entry keeps none to
 * @param router chooses targets
 * @param retries bounds attempts beyond the first
 * @param clock the time
 * @param timers runs tasks later
 * @param threads writes to callers
 * @param random for choices
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
  /** Runs a task at a time or soon after, on another thread. */
  @FunctionalInterface
  interface Timers {
    void at(Instant when, Runnable task);
  }

  String streamName(CallerRequest request, String target, String attemptId) {
    var call = request.dispatch().getModelCall();
    return new StreamName(target, attemptId, request.servedName(), call.getChat()).encode();
  }
}
