package dev.ibishub.core;

/**
 * One command of a group's leader to one rank. Numbered by incarnation, epoch and sequence, so that
 * a late, repeated or reordered copy is known as such.
 *
 * @param group the group's name
 * @param incarnation the group incarnation, 0 in {@link Kind#PREPARE}
 * @param epoch the leader's number, higher for a later leader
 * @param sequence number of the command within the epoch; a copy keeps it
 * @param kind what to do
 * @param mapVersion the map concerned, 0 where none is
 * @param step the step concerned, 0 where none is
 * @param map the map's bytes for {@link Kind#STAGE}, else empty
 */
@SuppressWarnings("ArrayRecordComponent") // Handed on, never compared or hashed.
public record GroupCommand(
    String group,
    long incarnation,
    long epoch,
    long sequence,
    Kind kind,
    long mapVersion,
    long step,
    byte[] map) {
  /** Checks that the command is numbered. */
  public GroupCommand {
    if (epoch <= 0 || sequence <= 0) {
      throw new IllegalArgumentException("epoch and sequence start at 1");
    }
  }

  /** What a command asks for. */
  public enum Kind {
    /** Refuse lower epochs from now on, and report. Also read as a plain status request. */
    PREPARE,
    /** Keep the map ready without using it. */
    STAGE,
    /** Do not begin the step until told. */
    HOLD,
    /** Use the map from the step on. */
    COMMIT,
    /** Drop the hold and go on with the map in use. */
    RELEASE,
    /** All ranks have the commit: it need not be reported any longer. */
    FORGET,
    /** Become a member under a new group incarnation. */
    JOIN
  }
}
