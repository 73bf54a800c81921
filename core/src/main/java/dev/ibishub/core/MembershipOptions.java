package dev.ibishub.core;

/**
 * Failure detection and link options of a {@link Membership}.
 *
 * @param missedProbesToSuspect number of consecutive probes without an answer that make a process
 *     suspect
 * @param suspicionSeconds time in seconds that a suspect has to refute before it counts as dead
 * @param removalSeconds time in seconds after which a dead process that is not on the list of VMs
 *     is removed
 * @param targetsInZone the most targets of its own failure domain that an entry keeps links to
 * @param targetsOutsideZone the most targets of other failure domains that it keeps links to
 * @param peers the most other entries that it keeps links to
 * @param maximumDigestRecords the most records in one digest
 */
public record MembershipOptions(
    int missedProbesToSuspect,
    double suspicionSeconds,
    double removalSeconds,
    int targetsInZone,
    int targetsOutsideZone,
    int peers,
    int maximumDigestRecords) {
  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if an option is out of range
   */
  public MembershipOptions {
    if (missedProbesToSuspect < 1
        || !(suspicionSeconds >= 0)
        || !(removalSeconds > 0)
        || targetsInZone < 1
        || targetsOutsideZone < 0
        || peers < 1
        || maximumDigestRecords < 1) {
      throw new IllegalArgumentException("out of range: " + suspicionSeconds);
    }
  }

  /**
   * Returns 2 missed probes, 2 seconds of suspicion, 60 seconds until removal, 96 targets inside
   * and 16 outside the failure domain, 12 peers and 64 records in a digest.
   */
  public static MembershipOptions defaults() {
    return new MembershipOptions(2, 2, 60, 96, 16, 12, 64);
  }
}
