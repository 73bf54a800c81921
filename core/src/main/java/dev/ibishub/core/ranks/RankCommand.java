package dev.ibishub.core.ranks;

/**
 * Command to one rank on the platform of ibishub's users; {@code dev.ibishub.core.GroupCommand} is
 * its counterpart behind ibishub's own interface.
 *
 * @param rank the rank's number, from 0
 * @param kind the operation
 * @param version version of the map concerned
 * @param step the step concerned
 * @param epoch the group's epoch that the command is meant for
 * @param token its fencing token
 */
public record RankCommand(int rank, Kind kind, long version, long step, long epoch, long token) {
  /** Operation that a command requests. */
  public enum Kind {
    PREPARE,
    ARM,
    DISARM,
    HOLD,
    RELEASE
  }

  /** Result of a command. */
  public enum Result {
    /** Carried out, now or earlier. */
    DONE,
    /** The command does not fit the state of the rank, and a repetition would not either. */
    CONFLICT,
    /** The rank has seen a higher fencing token. */
    FENCED,
    /** Unknown: the command may have been carried out, or may still be seconds later. */
    UNKNOWN
  }
}
