package dev.ibishub.gateway.front;

import dev.ibishub.gateway.model.Target;

/** Receives statements that targets are cold, before the targets get further requests. */
@FunctionalInterface
public interface ColdListener {
  /**
   * Called with each statement.
   *
   * @param target the target that is cold
   * @param wasInUse whether other entries may still send it the usual requests, as it or another
   *     incarnation at its address was known and not cold a short time before
   * @param until when it stops being cold, on the monotonic clock, milliseconds
   * @param now the current time, milliseconds
   */
  void onCold(Target target, boolean wasInUse, long until, long now);

  /**
   * Called when an incarnation of a target is over, so that nothing needs to be stored for it.
   *
   * @param incarnation see {@link Target#incarnation}
   */
  default void onEnded(String incarnation) {}

  /**
   * Whether a limit for cold targets of a service is in force; without one they are used as warm
   * targets are. May change at any time.
   */
  default boolean hasLimit(String service) {
    return true;
  }
}
