package dev.ibishub.core.serving;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * A target's report of its own load. Used on the platform of the users; ibishub's own interface has
 * {@link dev.ibishub.core.TargetStatus}.
 *
 * @param requests requests that wait or run at the target
 * @param slowdown how many times as long as usual it takes for its work; 1 for as usual, above 1
 *     for slower
 * @param isOpen whether it accepts requests; a target whose group of ranks is broken does not
 * @param measuredAt when the report was made, on this process's monotonic clock, milliseconds
 * @param group the group of ranks that it belongs to, if any
 * @param step the last step that its group began; empty if not stated
 */
public record TargetReport(
    int requests,
    double slowdown,
    boolean isOpen,
    long measuredAt,
    Optional<GroupMembership> group,
    OptionalLong step) {
  /**
   * The group that a target reports to belong to.
   *
   * @param name the group's name
   * @param epoch the group's epoch, which grows each time the group forms again
   */
  public record GroupMembership(String name, long epoch) {}

  /** Creates the report of a target that belongs to no group. */
  public TargetReport(int requests, double slowdown, boolean isOpen, long measuredAt) {
    this(requests, slowdown, isOpen, measuredAt, Optional.empty(), OptionalLong.empty());
  }

  /** Creates the report of a target that accepts requests and works at its usual speed. */
  public static TargetReport ofRequests(int requests, long measuredAt) {
    return new TargetReport(requests, 1, true, measuredAt);
  }
}
