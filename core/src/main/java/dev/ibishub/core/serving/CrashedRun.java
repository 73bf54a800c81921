package dev.ibishub.core.serving;

import java.util.Objects;

/**
 * A run of a request that a crash of its target broke off. Times are milliseconds of one process's
 * monotonic clock.
 *
 * @param request which request
 * @param targetLife the life of the target that ended; no other life of any target has this name
 * @param sentAt when the request was sent there
 * @param brokenAt when it broke off
 */
public record CrashedRun(RequestIdentity request, String targetLife, long sentAt, long brokenAt) {
  /** Checks that request and target are named. */
  public CrashedRun {
    Objects.requireNonNull(request);
    Objects.requireNonNull(targetLife);
  }
}
