package dev.ibishub.engines;

/**
 * An order about a rank's expert map.
 *
 * @param kind what to do
 * @param fencingToken the leader's epoch
 * @param mapVersion the map concerned, for stage and commit
 * @param step the step concerned: not to be begun (hold), the first with the new map (commit)
 * @param map the map's bytes, for stage
 */
@SuppressWarnings("ArrayRecordComponent") // Handed on, never compared or hashed.
public record RankOrder(Kind kind, long fencingToken, long mapVersion, long step, byte[] map) {
  /** What an order asks for. */
  public enum Kind {
    STAGE,
    HOLD,
    COMMIT,
    RELEASE
  }
}
