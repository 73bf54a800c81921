package dev.ibishub.core;

import java.time.Instant;

/**
 * The verdict on one published change; an entry of the history and the audit trail.
 *
 * @param offset the change's offset in the log
 * @param recordId the change's unique id
 * @param site the site whose overlay it changes, or empty for the base
 * @param author who published it
 * @param at when it was published, by the publishing process's clock
 * @param basedOnRevision the revision that the author saw
 * @param result whether it was accepted
 * @param revision the revision that it made; for a rejected change the revision then in force
 * @param detail why the change was rejected; for a conflict, it names the change that was accepted
 *     instead; empty for an accepted change
 */
public record ConfigurationEvent(
    long offset,
    String recordId,
    String site,
    String author,
    Instant at,
    long basedOnRevision,
    Result result,
    long revision,
    String detail) {

  /** Whether a change was accepted. */
  public enum Result {
    /** In force, or replaced by a later change. */
    ACCEPTED,
    /** Rejected for good: not based on the revision that was in force. */
    CONFLICT,
    /** Rejected for good: does not result in the state whose hash it names. */
    CORRUPT
  }
}
