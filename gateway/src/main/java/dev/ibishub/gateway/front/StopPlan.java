package dev.ibishub.gateway.front;

/** Whether and when this entry stops. Thread-safe. */
public interface StopPlan {
  /**
   * Whether the entry is about to stop, in which case connections close after their next response.
   */
  boolean isLeaving();

  /**
   * Whether a request that arrives now may be cut off by the stop.
   *
   * @param deadline when its response has to be complete, on the monotonic clock, milliseconds
   */
  boolean mayInterrupt(long deadline);
}
