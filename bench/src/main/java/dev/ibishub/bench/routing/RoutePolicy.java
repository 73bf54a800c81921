package dev.ibishub.bench.routing;

import dev.ibishub.bench.model.ModelRequest;
import dev.ibishub.core.TargetStatus;
import java.util.Collection;
import java.util.Set;

/** A policy by which one entry chooses targets. */
interface RoutePolicy {
  /** Returns the target for a request, among those that are not excluded. */
  String choose(ModelRequest request, String served, Set<String> excluded);

  /** Handles a status report, which may be stale. */
  default void report(TargetStatus status) {}

  /** Handles prefixes that a target added to its cache, reported late. */
  default void cached(String target, Collection<Long> added) {}

  /** Handles the end of an attempt. */
  default void ended(String target, ModelRequest request, boolean failed) {}

  /** Handles the removal of a target. */
  default void removed(String target) {}

  /**
   * A named kind of policy.
   *
   * @param name name in the table
   * @param create creates the policy of one entry
   */
  record Kind(String name, Factory create) {}

  /** Creates the policy of one entry. */
  interface Factory {
    /** Creates the policy of the given entry for a run. */
    RoutePolicy create(RouteRun run, int entry);
  }
}
