package dev.ibishub.core.ranks;

/**
 * A command to one rank.
 *
 * @param rank the rank
 * @param kind what to do
 * @param version the map concerned
 * @param step the step concerned
 * @param epoch the epoch that it is meant for
 * @param token its fencing token
 */
public record RankCommand(int rank, Kind kind, long version, long step, long epoch, long token) {
  /** What a rank can be told. */
  public enum Kind {
    PREPARE,
    ARM,
    DISARM,
    HOLD,
    RELEASE
  }

  /** What came of a command. */
  public enum Result {
    /** Carried out, or it already was so. */
    DONE,
    /** It does not fit the rank's state and never will. */
    CONFLICT,
    /** The rank has seen a higher fencing token. */
    FENCED,
    /** Not known: it may have been carried out, or may be seconds later. */
    UNKNOWN
  }
}
