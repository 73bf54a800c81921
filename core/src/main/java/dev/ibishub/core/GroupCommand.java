package dev.ibishub.core;

/**
 * Command of a group's leader to one rank when ibishub runs behind its own interface; {@code
 * dev.ibishub.core.ranks.RankCommand} is its counterpart on the platform of its users. Incarnation,
 * epoch and sequence number let a rank recognize late, duplicate and reordered copies.
 *
 * @param group the group's name
 * @param incarnation the group incarnation, 0 in {@link Kind#PREPARE}
 * @param epoch the leader's epoch, higher for a later leader; at least 1
 * @param sequence number of the command within the epoch, at least 1; retransmissions keep it
 * @param kind the operation
 * @param mapVersion version of the map concerned, 0 for none
 * @param step the step concerned, 0 for none
 * @param map the serialized map for {@link Kind#STAGE}, else empty
 */
@SuppressWarnings("ArrayRecordComponent") // Passed through, never compared or hashed.
public record GroupCommand(
    String group,
    long incarnation,
    long epoch,
    long sequence,
    Kind kind,
    long mapVersion,
    long step,
    byte[] map) {
  /** Checks that epoch and sequence number are positive. */
  public GroupCommand {
    if (epoch <= 0 || sequence <= 0) {
      throw new IllegalArgumentException("epoch and sequence start at 1");
    }
  }

  /** Operation that a command requests. */
  public enum Kind {
    /** Refuse lower epochs from now on and report the state. Also serves as a status request. */
    PREPARE,
    /** Load the map without using it yet. */
    STAGE,
    /** Do not begin the step until a commit or a release. */
    HOLD,
    /** Use the map from the given step on. */
    COMMIT,
    /** Drop the hold and continue with the current map. */
    RELEASE,
    /** Stop reporting the commit, which all ranks now have. */
    FORGET,
    /** Become a member of the group under a new incarnation. */
    JOIN
  }
}
