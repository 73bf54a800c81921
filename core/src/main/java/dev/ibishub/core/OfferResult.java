package dev.ibishub.core;

/** What became of an attempt that was offered to an {@link AttemptTable}. */
public enum OfferResult {
  /** The attempt waits and may be started or revoked. */
  QUEUED,
  /** The same attempt was offered before: a late duplicate, to be ignored. */
  DUPLICATE,
  /** The attempt was revoked, or came too late, or there is no room: it never starts. */
  REVOKED
}
