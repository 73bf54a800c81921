package dev.ibishub.core;

import java.util.Comparator;
import java.util.Objects;

/**
 * A process and its state as another process sees it, exchanged between processes in digests.
 *
 * @param id id of the process
 * @param role kind of the process
 * @param zone failure domain of the process
 * @param host its IP address
 * @param port the port on which it speaks the project's own protocol
 * @param callerUrl URL at which callers reach it; empty for an agent, or if not known
 * @param incarnation a larger number for each start of the process; 0 if not known
 * @param refutation number that the process itself raises to refute a suspicion
 * @param state its state
 * @param load how busy an entry is, 0 when idle
 */
public record MemberRecord(
    String id,
    MemberRole role,
    String zone,
    String host,
    int port,
    String callerUrl,
    long incarnation,
    long refutation,
    MemberState state,
    int load) {
  private static final Comparator<MemberRecord> PRECEDENCE =
      Comparator.comparingLong(MemberRecord::incarnation)
          .thenComparingLong(MemberRecord::refutation)
          .thenComparing(MemberRecord::state);

  /** Checks that no component is null. */
  public MemberRecord {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(role, "role");
    Objects.requireNonNull(zone, "zone");
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(callerUrl, "callerUrl");
    Objects.requireNonNull(state, "state");
  }

  /**
   * Tells whether this record takes precedence over another one of the same process: by
   * incarnation, then by refutation, then by state.
   */
  public boolean supersedes(MemberRecord other) {
    return PRECEDENCE.compare(this, other) > 0;
  }

  /** Returns this record with another state. */
  public MemberRecord withState(MemberState newState) {
    return new MemberRecord(
        id, role, zone, host, port, callerUrl, incarnation, refutation, newState, load);
  }

  /** Returns this record with another incarnation and refutation. */
  public MemberRecord withIncarnation(long newIncarnation, long newRefutation) {
    return new MemberRecord(
        id, role, zone, host, port, callerUrl, newIncarnation, newRefutation, state, load);
  }

  /** Returns this record with another load. */
  public MemberRecord withLoad(int newLoad) {
    return new MemberRecord(
        id, role, zone, host, port, callerUrl, incarnation, refutation, state, newLoad);
  }

  /**
   * Returns this record with the load of another record of the same process, and with that record's
   * URL for callers if this one has none because it was made from the platform's list.
   */
  public MemberRecord withLoadAndUrlFrom(MemberRecord other) {
    String url = callerUrl.isEmpty() ? other.callerUrl : callerUrl;
    return new MemberRecord(
        id, role, zone, host, port, url, incarnation, refutation, state, other.load);
  }
}
