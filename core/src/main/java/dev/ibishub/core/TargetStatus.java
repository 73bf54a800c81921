package dev.ibishub.core;

import java.time.Instant;
import java.util.Objects;
import java.util.Set;

/**
 * What a target's agent reports of it.
 *
 * @param target id of the target
 * @param zone failure domain of the target
 * @param leaving whether it takes no new work
 * @param reachable whether the agent reaches its engine or service
 * @param queued pieces of work that wait at the agent
 * @param running pieces of work that run
 * @param limit pieces of work that may run at the same time
 * @param queuedTokens estimate of the work that waits
 * @param tokensPerSecond rate at which the target works through tokens under load; 0 if not known
 * @param served names of what the target serves: models, adapters and versions, or services
 * @param measuredAt when the figures were taken
 */
public record TargetStatus(
    String target,
    String zone,
    boolean leaving,
    boolean reachable,
    int queued,
    int running,
    int limit,
    double queuedTokens,
    double tokensPerSecond,
    Set<String> served,
    Instant measuredAt) {
  /** Checks the fields and copies the set. */
  public TargetStatus {
    Objects.requireNonNull(target, "target");
    Objects.requireNonNull(zone, "zone");
    Objects.requireNonNull(measuredAt, "measuredAt");
    served = Set.copyOf(served);
  }
}
