package dev.ibishub.bench.routing;

import dev.ibishub.bench.model.ModelRequest;
import dev.ibishub.core.TargetStatus;
import java.util.Collection;
import java.util.Set;

/** A way to choose targets at one entry. */
interface RoutePolicy {
  /** Chooses among the targets that are not excluded. */
  String choose(ModelRequest request, String served, Set<String> excluded);

  /** Takes a late report. */
  default void report(TargetStatus status) {}

  /** Takes late cache events. */
  default void cached(String target, Collection<Long> added) {}

  /** Notes the end of an attempt. */
  default void ended(String target, ModelRequest request, boolean failed) {}

  /** Notes that a target is gone. */
  default void removed(String target) {}

  /**
   * How policies are created for an entry.
   *
   * @param name in the table
   * @param create makes the policy of one entry
   */
  record Kind(String name, Factory create) {}

  /** Makes the policy of one entry. */
  interface Factory {
    /** Creates a policy in a run. */
    RoutePolicy create(RouteRun run, int entry);
  }
}
