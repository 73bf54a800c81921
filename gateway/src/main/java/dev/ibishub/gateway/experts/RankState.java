package dev.ibishub.gateway.experts;

import dev.ibishub.core.serving.TargetReport;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a rank's engine says of itself.
 *
 * @param requests requests waiting and running
 * @param waiting those of them that wait
 * @param pace how many times slower than usual it works
 * @param membership its place in a group, where it belongs to one
 */
public record RankState(int requests, int waiting, double pace, Optional<Membership> membership) {
  /**
   * Returns the part of it that placing requests needs.
   *
   * @param now when it was heard, on this process's monotonic clock
   */
  public TargetReport load(long now) {
    return new TargetReport(
        requests,
        pace,
        isOpen(),
        now,
        membership.map(place -> new TargetReport.GroupWord(place.group(), place.epoch())));
  }

  /** Whether it takes requests: one that belongs to a group only does while the group works. */
  public boolean isOpen() {
    return membership.map(Membership::isOpen).orElse(true);
  }

  /**
   * A rank's place in its group and what it has been ordered to do.
   *
   * @param group the group's name
   * @param epoch grows each time the group forms anew, and all below is forgotten
   * @param rank the rank's number
   * @param size how many ranks the group has
   * @param isOpen whether the group works
   * @param step the last step that began
   * @param mapVersion the map in use
   * @param preparedVersion the map whose experts are all there, 0 for none
   * @param armedVersion the map that the rank will switch to, 0 for none
   * @param armedStep the step at which it will
   * @param heldStep the step that may not begin, where there is one
   */
  public record Membership(
      String group,
      long epoch,
      int rank,
      int size,
      boolean isOpen,
      long step,
      long mapVersion,
      long preparedVersion,
      long armedVersion,
      long armedStep,
      OptionalLong heldStep) {}
}
