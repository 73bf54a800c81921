package dev.ibishub.gateway.front;

/** Whether and when this entry stops. Thread-safe. */
public interface StopPlan {
  /** Whether the entry is about to stop, so that connections end with their next answer. */
  boolean isLeaving();

  /**
   * Whether a request that comes in now may be cut off by the stop.
   *
   * @param deadline when its answer has to be complete, on the monotonic clock, milliseconds
   */
  boolean mayCut(long deadline);
}
