package dev.ibishub.core.serving;

/** What may be done with a request whose first attempt failed. */
public enum RequestKind {
  /** May run any number of times. */
  IDEMPOTENT,
  /** May run once at most. */
  ONCE,
  /** A stream of events that runs once at most. */
  STREAM,
  /** A stream of events that another target may go on with after the last event delivered. */
  RESUMABLE_STREAM;

  /** Whether a request that may have run can be sent to another target. */
  public boolean isRepeatable() {
    return this == IDEMPOTENT || this == RESUMABLE_STREAM;
  }

  /** Whether the answer is a stream of events. */
  public boolean isStream() {
    return this == STREAM || this == RESUMABLE_STREAM;
  }
}
