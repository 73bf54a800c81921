package dev.ibishub.core;

import java.time.Instant;

/**
 * What became of one published change; an entry of history and audit trail.
 *
 * @param offset the change's offset in the log
 * @param recordId the change's unique name
 * @param site the site whose overlay it changes, or empty for the base
 * @param author who published it
 * @param at when, by the publishing process's clock
 * @param basedOnRevision the revision that the author saw
 * @param result whether it took hold
 * @param revision the revision that it made; for a void change the revision then in force
 * @param detail for a void change why, naming the change that won
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

  /** Whether a change took hold. */
  public enum Result {
    /** It is in force, or was until a later change. */
    ACCEPTED,
    /** Another change had come before it; it never takes hold. */
    CONFLICT,
    /** It does not result in the state whose hash it names; it never takes hold. */
    CORRUPT
  }
}
