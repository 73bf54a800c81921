package dev.ibishub.core;

import java.util.Comparator;
import java.util.Objects;

/**
 * What one process believes of another, as processes pass it on.
 *
 * @param id of the process
 * @param role of the process
 * @param zone failure domain
 * @param host an IP number
 * @param port on which it speaks the project's own protocol
 * @param callerUrl where callers reach it; empty for an agent
 * @param incarnation drawn anew at each start of the process and larger each time; 0 if not known
 * @param refutation raised by the process itself to refute a suspicion
 * @param state what is believed
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

  /** Checks that the fields are given. */
  public MemberRecord {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(role, "role");
    Objects.requireNonNull(zone, "zone");
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(callerUrl, "callerUrl");
    Objects.requireNonNull(state, "state");
  }

  /** Whether this record is newer knowledge of the same process than the other. */
  public boolean supersedes(MemberRecord other) {
    return PRECEDENCE.compare(this, other) > 0;
  }

  /** The same process in another state. */
  public MemberRecord withState(MemberState newState) {
    return new MemberRecord(
        id, role, zone, host, port, callerUrl, incarnation, refutation, newState, load);
  }

  /** The same process under another incarnation or refutation. */
  public MemberRecord withNumbers(long newIncarnation, long newRefutation) {
    return new MemberRecord(
        id, role, zone, host, port, callerUrl, newIncarnation, newRefutation, state, load);
  }

  /** The same process with another load. */
  public MemberRecord withLoad(int newLoad) {
    return new MemberRecord(
        id, role, zone, host, port, callerUrl, incarnation, refutation, state, newLoad);
  }

  /**
   * The same process with the load of another record of it, and with that one's address for callers
   * where this one, made from the platform's list, has none.
   */
  public MemberRecord completedBy(MemberRecord other) {
    String url = callerUrl.isEmpty() ? other.callerUrl : callerUrl;
    return new MemberRecord(
        id, role, zone, host, port, url, incarnation, refutation, state, other.load);
  }
}
