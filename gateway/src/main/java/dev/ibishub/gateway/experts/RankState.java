package dev.ibishub.gateway.experts;

import dev.ibishub.core.serving.TargetReport;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The state that a rank's engine reports.
 *
 * <p>Used on the platform of ibishub's users; the counterpart behind ibishub's own interface is
 * {@code dev.ibishub.engines.RankState}.
 *
 * @param requests number of requests waiting and running
 * @param waiting number of requests waiting, included in {@code requests}
 * @param slowdown how many times slower than usual the engine works, 1 for as usual
 * @param membership its place in a group; empty for a target that belongs to none
 */
public record RankState(
    int requests, int waiting, double slowdown, Optional<Membership> membership) {
  /**
   * Returns the part of the state that is used to place requests.
   *
   * @param now when the state was received, milliseconds on this process's monotonic clock
   */
  public TargetReport load(long now) {
    return new TargetReport(
        requests,
        slowdown,
        isOpen(),
        now,
        membership.map(place -> new TargetReport.GroupMembership(place.group(), place.epoch())),
        membership.stream().mapToLong(Membership::step).findFirst());
  }

  /**
   * Whether the rank takes requests. One that belongs to a group only does while the group works.
   */
  public boolean isOpen() {
    return membership.map(Membership::isOpen).orElse(true);
  }

  /**
   * A rank's place in its group, and the state of its expert map.
   *
   * @param group the group's name
   * @param epoch grows each time the group forms anew; the state below is then lost
   * @param rank the rank's number
   * @param size the number of ranks in the group
   * @param isOpen whether the group works
   * @param step the last step that began
   * @param mapVersion the version of the map in use
   * @param preparedVersion the version of the map whose experts the rank has fetched, 0 for none
   * @param armedVersion the version of the map that the rank will switch to, 0 for none
   * @param armedStep the step at which it will switch
   * @param heldStep the step that must not begin yet, empty for none
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
