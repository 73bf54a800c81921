package dev.ibishub.core.serving.crashes;

import java.util.Objects;

/**
 * A run of a request that broke off, perhaps because its target crashed. Times are milliseconds of
 * this process's monotonic clock.
 *
 * @param request what the request may share with others; without parts if its answer had begun, as
 *     a part crashes targets at the beginning of an answer
 * @param targetIncarnation unique id of the target incarnation that ran it; a restarted target has
 *     another
 * @param sentAt when the request was sent to the target
 * @param brokenAt when the run broke off
 */
public record CrashedRun(
    RequestTraits request, String targetIncarnation, long sentAt, long brokenAt) {
  /** Checks that request and target incarnation are given. */
  public CrashedRun {
    Objects.requireNonNull(request);
    Objects.requireNonNull(targetIncarnation);
  }

  /** Whether this is the same run as another one, whatever its times and parts. */
  public boolean isSameRun(CrashedRun other) {
    return targetIncarnation.equals(other.targetIncarnation)
        && request.identity().equals(other.request.identity());
  }
}
