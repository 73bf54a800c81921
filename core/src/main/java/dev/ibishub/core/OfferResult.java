package dev.ibishub.core;

/** What became of an attempt that was offered to an {@link AttemptTable}. */
public enum OfferResult {
  /** The attempt waits and may be started or revoked. */
  QUEUED,
  /**
   * The same attempt was offered before, or comes so late that this is no longer known: to be
   * ignored without an answer.
   */
  DUPLICATE,
  /**
   * The attempt was revoked, or came too late, or there is no room: it never starts. "Not run" is
   * the true answer.
   */
  REVOKED
}
