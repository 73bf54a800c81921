package dev.ibishub.core;

import java.util.Objects;
import java.util.Set;

/**
 * What a request requires of its target.
 *
 * @param served name of what the target must serve: a model, adapter, version or service
 * @param zone failure domain of the entry
 * @param prefixHash hash of the prompt's prefix; 0 for a request without one
 * @param estimatedTokens expected cost in tokens
 * @param excluded targets that have already been tried
 */
public record RouteQuery(
    String served, String zone, long prefixHash, double estimatedTokens, Set<String> excluded) {
  /** Checks the fields and copies the set. */
  public RouteQuery {
    Objects.requireNonNull(served, "served");
    Objects.requireNonNull(zone, "zone");
    excluded = Set.copyOf(excluded);
  }
}
