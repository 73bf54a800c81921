package dev.ibishub.core;

import java.time.Instant;
import java.util.Objects;

/**
 * A request for which admission is to be decided.
 *
 * @param workspace workspace of the caller
 * @param limits limits of the workspace, from the configuration in force
 * @param priority priority of the request; a higher one may wait longer before it is shed
 * @param estimatedTokens expected cost in tokens
 * @param serviceSeconds expected time from the start at a target to the end of the answer
 * @param estimatedStart when a target would start this work in first-in, first-out order, from
 *     {@link Router#estimatedStart}
 * @param deadline time by which the whole answer is needed
 */
public record AdmissionQuery(
    String workspace,
    WorkspaceLimits limits,
    int priority,
    double estimatedTokens,
    double serviceSeconds,
    Instant estimatedStart,
    Instant deadline) {
  /** Checks that the fields are not null and in range. */
  public AdmissionQuery {
    Objects.requireNonNull(workspace, "workspace");
    Objects.requireNonNull(limits, "limits");
    Objects.requireNonNull(estimatedStart, "estimatedStart");
    Objects.requireNonNull(deadline, "deadline");
    if (!(estimatedTokens >= 0) || !(serviceSeconds >= 0)) {
      throw new IllegalArgumentException("estimatedTokens and serviceSeconds must be >= 0");
    }
  }
}
