package dev.ibishub.core;

/** Result of offering an attempt to an {@link AttemptTable}. */
public enum OfferResult {
  /** The attempt is queued and may be started or revoked. */
  QUEUED,
  /**
   * The attempt was offered before, or is so late that this is no longer known. Ignore it without
   * an answer.
   */
  DUPLICATE,
  /**
   * The attempt was revoked or is too late, or the table is full. It never starts, so the answer
   * "not run" is true.
   */
  REVOKED
}
