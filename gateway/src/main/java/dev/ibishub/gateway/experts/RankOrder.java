package dev.ibishub.gateway.experts;

import java.util.Optional;

/**
 * An order to one rank's engine.
 *
 * @param targetId the target that is meant; another one at its address refuses
 * @param kind what to do
 * @param version the map concerned, for all but holds
 * @param step the step concerned, for arms and holds
 * @param epoch the epoch of the group that the order was made for
 * @param fencingToken orders with a lower one than the engine has seen are refused
 * @param map experts by set and rank, for prepare
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

  /** What a rank can be told. */
  public enum Kind {
    /** Fetch the experts that a map adds. */
    PREPARE,
    /** Switch to the prepared map as a step begins. */
    ARM,
    /** Do not switch after all. */
    DISARM,
    /** Let the whole group wait before a step. */
    HOLD,
    /** Let a step that was held begin. */
    RELEASE
  }

  /** What came of an order. */
  public enum Result {
    /** Carried out, or it already was so. */
    DONE,
    /** It does not fit the engine's state and never will. */
    CONFLICT,
    /** The engine has seen a higher fencing token. */
    FENCED,
    /** No answer: it may have been carried out, or may be seconds later. */
    UNKNOWN
  }
}
