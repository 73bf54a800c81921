package dev.ibishub.core.serving;

/**
 * How often a request may run, and whether its answer is a stream. Used on the platform of the
 * users; ibishub's own interface has {@link dev.ibishub.core.Repeatability}.
 */
public enum RequestKind {
  /** May run any number of times. */
  IDEMPOTENT,
  /** May run at most once. */
  ONCE,
  /** A stream of events; may run at most once. */
  STREAM,
  /** A stream of events that another target can resume after the last event delivered. */
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
