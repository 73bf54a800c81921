package dev.ibishub.agent;

import dev.ibishub.administration.ConfigurationFollower;
import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.outbound.AppendOnlyLog;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Relearns the highest fencing token of orders after a restart. The token is the revision of the
 * configuration that the order carries out, so the log knows the highest one that may have been
 * used, whatever this VM forgot.
 */
final class FencingTokens {
  private static final long PATIENCE_SECONDS = 5;

  private FencingTokens() {}

  /**
   * Reads the revision in force on the log.
   *
   * @return the revision; fails with {@code LOG_UNAVAILABLE} when the log does not show it in time,
   *     and then no order may be taken
   */
  static CompletableFuture<Long> highest(AppendOnlyLog log, String site, InstantSource clock) {
    ConfigurationFollower follower =
        ConfigurationFollower.create(log, site, ConfigurationFollower.Options.defaults());
    CompletableFuture<Long> revision = new CompletableFuture<>();
    follower.addListener(configuration -> revision.complete(configuration.revision()));
    follower.start();
    return revision
        .orTimeout(PATIENCE_SECONDS, TimeUnit.SECONDS)
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
