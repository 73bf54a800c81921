package dev.ibishub.core.serving;

import java.util.Objects;

/**
 * A run of a request that broke off, perhaps because its target crashed. Times are milliseconds of
 * this process's monotonic clock.
 *
 * @param request which request ran
 * @param targetIncarnation unique id of the target incarnation that ran it; a restarted target has
 *     another
 * @param sentAt when the request was sent to the target
 * @param brokenAt when the run broke off
 */
public record CrashedRun(
    RequestIdentity request, String targetIncarnation, long sentAt, long brokenAt) {
  /** Checks that request and target incarnation are given. */
  public CrashedRun {
    Objects.requireNonNull(request);
    Objects.requireNonNull(targetIncarnation);
  }
}
