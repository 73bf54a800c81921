package dev.ibishub.core;

/**
 * How a {@link Membership} judges and whom it connects to.
 *
 * @param missesToSuspect probes in a row without an answer that make a process suspect
 * @param suspicionSeconds time that a suspect has to refute before it counts as dead
 * @param forgetSeconds time after which a dead process that no list names is forgotten
 * @param targetsInZone targets of its own failure domain that an entry keeps links to
 * @param targetsOutside targets of other failure domains that it keeps links to
 * @param peers entries that an entry keeps links to
 * @param digestRecords most records of one digest
 */
public record MembershipOptions(
    int missesToSuspect,
    double suspicionSeconds,
    double forgetSeconds,
    int targetsInZone,
    int targetsOutside,
    int peers,
    int digestRecords) {
  /** Checks the ranges; fails with {@link IllegalArgumentException}. */
  public MembershipOptions {
    if (missesToSuspect < 1
        || !(suspicionSeconds >= 0)
        || !(forgetSeconds > 0)
        || targetsInZone < 1
        || targetsOutside < 0
        || peers < 1
        || digestRecords < 1) {
      throw new IllegalArgumentException("out of range: " + suspicionSeconds);
    }
  }

  /** The options that docs/MEASUREMENTS.md was measured with. */
  public static MembershipOptions defaults() {
    return new MembershipOptions(2, 2, 60, 96, 16, 12, 64);
  }
}
