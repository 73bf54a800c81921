package dev.ibishub.core;

import java.time.Instant;
import java.util.Objects;
import java.util.Set;

/**
 * A target's load and state as reported by its agent. Used behind ibishub's own interface; on the
 * platform of its users {@code TargetReport} takes this place.
 *
 * @param target id of the target
 * @param zone failure domain of the target
 * @param leaving whether the target is draining and accepts no new work
 * @param reachable whether the agent reaches its engine or service
 * @param queued number of items of work waiting at the agent
 * @param running number of items of work running
 * @param limit maximum number of items of work running at the same time
 * @param queuedTokens estimated tokens of the waiting work
 * @param tokensPerSecond rate at which the target processes tokens under load; 0 if unknown
 * @param served names of what the target serves: models, adapters and versions, or services
 * @param measuredAt when the figures were measured
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
