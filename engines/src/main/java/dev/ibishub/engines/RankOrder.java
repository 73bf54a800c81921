package dev.ibishub.engines;

/**
 * An order about a rank's expert map, to an engine behind ibishub's own interface.
 *
 * @param kind the action
 * @param fencingToken the epoch of the group's leader
 * @param mapVersion the version of the map to stage or commit
 * @param step for hold, the step that must not begin; for commit, the first step with the new map
 * @param map the map's bytes, for stage
 */
@SuppressWarnings("ArrayRecordComponent") // Only passed on, never compared or hashed.
public record RankOrder(Kind kind, long fencingToken, long mapVersion, long step, byte[] map) {
  /** The action that an order requests. */
  public enum Kind {
    STAGE,
    HOLD,
    COMMIT,
    RELEASE
  }
}
