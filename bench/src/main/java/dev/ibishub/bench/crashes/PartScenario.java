package dev.ibishub.bench.crashes;

/**
 * A run of {@link PartFleet}. Times are milliseconds, rates per second over all entries.
 *
 * @param name what is particular about it
 * @param entries number of entries
 * @param targets number of targets
 * @param isGroup whether the targets are ranks of one group, which all stand still when one ends
 * @param soundPerSecond sound requests, each with one of {@link PartFleet#PARTS} parts
 * @param guiltyPerSecond requests with a part that ends each target as it begins to answer; each
 *     also has a part in common with sound requests
 * @param guiltyParts number of parts that end targets; each guilty request has one
 * @param guiltyWorkspaces number of workspaces that send guilty requests
 * @param crashingShare share of the targets that end together for another reason, each ten seconds
 * @param isSilent whether targets fall silent rather than close their connections
 * @param trouble what else happens
 * @param length how long it lasts
 */
record PartScenario(
    String name,
    int entries,
    int targets,
    boolean isGroup,
    double soundPerSecond,
    double guiltyPerSecond,
    int guiltyParts,
    int guiltyWorkspaces,
    double crashingShare,
    boolean isSilent,
    Trouble trouble,
    long length) {
  /** What happens to the entries. */
  enum Trouble {
    NONE,
    /** Reports arrive up to half a second late. */
    LATE_REPORTS,
    /** Half of the entries are cut from the others for some seconds, twice. */
    CUT,
    /** Half of the entries restart one after the other, again and again. */
    RESTARTS,
    /** Half of the entries stand still for some seconds, twice. */
    FROZEN,
    /** All entries lose power at once. */
    POWER_LOSS
  }

  PartScenario with(Trouble other) {
    return new PartScenario(
        name,
        entries,
        targets,
        isGroup,
        soundPerSecond,
        guiltyPerSecond,
        guiltyParts,
        guiltyWorkspaces,
        crashingShare,
        isSilent,
        other,
        length);
  }
}
