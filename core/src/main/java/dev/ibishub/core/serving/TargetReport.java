package dev.ibishub.core.serving;

import java.util.Optional;

/**
 * What a target said of its own work.
 *
 * @param requests requests waiting and running there
 * @param pace how many times slower than usual it works, 1 for as usual
 * @param isOpen whether it takes requests; one whose group of ranks is broken does not
 * @param measuredAt when it said so, on this process's monotonic clock, milliseconds
 * @param group the group of ranks that it belongs to, where it belongs to one
 */
public record TargetReport(
    int requests, double pace, boolean isOpen, long measuredAt, Optional<GroupWord> group) {
  /**
   * The group that a target belongs to.
   *
   * @param name the group's name
   * @param epoch grows each time that the group forms anew
   */
  public record GroupWord(String name, long epoch) {}

  /** Makes the report of a target that belongs to no group. */
  public TargetReport(int requests, double pace, boolean isOpen, long measuredAt) {
    this(requests, pace, isOpen, measuredAt, Optional.empty());
  }

  /** Makes the report of a target that takes requests and works as fast as usual. */
  public static TargetReport ofRequests(int requests, long measuredAt) {
    return new TargetReport(requests, 1, true, measuredAt);
  }
}
