package dev.ibishub.gateway.experts;

import java.util.Optional;

/**
 * An order to one rank's engine.
 *
 * <p>Used on the platform of ibishub's users; the counterpart behind ibishub's own interface is
 * {@code dev.ibishub.engines.RankOrder}.
 *
 * @param targetId the target that the order is for; another target at the same address refuses it
 * @param kind what to do
 * @param version the version of the map concerned, for all kinds but hold and release
 * @param step the step concerned, for arm, hold and release
 * @param epoch the epoch of the group for which the order was made
 * @param fencingToken the engine refuses an order whose token is lower than one it has seen
 * @param map for prepare, the experts by set and rank; else empty
 */
@SuppressWarnings("ArrayRecordComponent") // Handed on, never compared or hashed.
public record RankOrder(
    String targetId,
    Kind kind,
    long version,
    long step,
    long epoch,
    long fencingToken,
    Optional<int[][][]> map) {

  /** The kinds of order. */
  public enum Kind {
    /** Fetch the experts that a map adds to the rank. */
    PREPARE,
    /** Switch to the prepared map when a step begins. */
    ARM,
    /** Cancel an armed switch. */
    DISARM,
    /** Make the whole group wait before a step. */
    HOLD,
    /** Let a held step begin. */
    RELEASE
  }

  /** The outcome of an order. */
  public enum Result {
    /** Carried out, or already in effect. */
    DONE,
    /** Refused: the order does not fit the engine's state and never will. */
    CONFLICT,
    /** Refused: the engine has seen a higher fencing token. */
    FENCED,
    /** Unanswered: the order may have been carried out, or may be seconds later. */
    UNKNOWN
  }
}
