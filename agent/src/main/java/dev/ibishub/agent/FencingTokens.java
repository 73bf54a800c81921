package dev.ibishub.agent;

import dev.ibishub.administration.ConfigurationFollower;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.outbound.AppendOnlyLog;
import dev.ibishub.runtime.Timeouts;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;

/**
 * Looks up the highest fencing token of engine orders after a restart. Used behind ibishub's own
 * interface. The token is the revision of the configuration that an order implements, so the
 * configuration log gives an upper bound on the tokens used so far, although the restarted agent
 * has no memory of them.
 */
final class FencingTokens {
  private static final long TIMEOUT_MILLIS = 5_000;

  private FencingTokens() {}

  /**
   * Reads the configuration revision in force from the log.
   *
   * @param timeouts end the wait for it
   * @return the revision; fails with {@code LOG_UNAVAILABLE} when the log does not deliver it in
   *     time, in which case no order may be accepted
   */
  static CompletableFuture<Long> highest(
      AppendOnlyLog log, String site, InstantSource clock, Timeouts timeouts) {
    ConfigurationFollower follower =
        ConfigurationFollower.create(log, site, ConfigurationFollower.Options.defaults());
    CompletableFuture<Long> revision = new CompletableFuture<>();
    follower.addListener(configuration -> revision.complete(configuration.revision()));
    follower.start();
    return timeouts
        .fail(revision, TIMEOUT_MILLIS)
        .exceptionallyCompose(
            timeout ->
                CompletableFuture.failedFuture(
                    new ResultException(
                        ResultCode.LOG_UNAVAILABLE,
                        "the log has not shown the revision in force",
                        clock.instant().plusSeconds(1))))
        .whenComplete((done, failure) -> follower.close());
  }
}
