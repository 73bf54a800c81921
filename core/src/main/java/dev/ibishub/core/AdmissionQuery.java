package dev.ibishub.core;

import java.time.Instant;
import java.util.Objects;

/**
 * A request that asks to be let in.
 *
 * @param workspace of the caller
 * @param limits of the workspace, from the configuration in force
 * @param priority of the request; higher may wait longer before it is shed
 * @param estimatedTokens expected cost
 * @param serviceSeconds expected time from the start at a target to the end of the answer
 * @param estimatedStart when a target would start work that came now in the order of arrival, from
 *     {@link Router#estimatedStart}
 * @param deadline by which the whole answer is wanted
 */
public record AdmissionQuery(
    String workspace,
    WorkspaceLimits limits,
    int priority,
    double estimatedTokens,
    double serviceSeconds,
    Instant estimatedStart,
    Instant deadline) {
  /** Checks that the fields are given and in range. */
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
