package dev.ibishub.core.serving.admission;

/** What happens to a request at its admission. */
public sealed interface Decision {
  /** It is sent to a target now. */
  record Send() implements Decision {}

  /**
   * It waits at the entry.
   *
   * @param predictedMillis predicted wait, milliseconds
   */
  record Wait(long predictedMillis) implements Decision {}

  /**
   * It is refused; it has not run.
   *
   * @param retryAfterMillis when the caller should retry, milliseconds from now
   * @param reason why it is refused
   */
  record Refuse(long retryAfterMillis, Reason reason) implements Decision {}

  /** Why a request is refused. */
  enum Reason {
    /** The engines stand still. */
    STALLED,
    /** The predicted wait is longer than the request may wait. */
    TOO_LATE,
    /** The wait took longer than predicted. */
    OVERDUE,
    /** The queue is full of requests that come first. */
    QUEUE_FULL,
    /** A more urgent request took its place in the queue. */
    DISPLACED,
    /** The entry stops. */
    STOPPING
  }
}
