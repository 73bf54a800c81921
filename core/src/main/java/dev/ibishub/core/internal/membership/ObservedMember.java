package dev.ibishub.core.internal.membership;

import dev.ibishub.core.MemberRecord;
import dev.ibishub.core.MemberState;
import java.time.Instant;

/**
 * The record of one member, with what this process has observed of the member itself. Immutable.
 *
 * @param record the newest record
 * @param changedAt when the state, incarnation or refutation of the record last changed
 * @param suspectedAt when the current suspicion began; meaningless in other states than suspect
 * @param heardAt when the member was last heard on a direct link; {@link Instant#EPOCH} if never
 * @param listed whether the last list of VMs contained the member
 * @param missedProbes number of consecutive probes without an answer
 * @param refutedAt when the member last refuted a suspicion; {@link Instant#EPOCH} if never
 */
public record ObservedMember(
    MemberRecord record,
    Instant changedAt,
    Instant suspectedAt,
    Instant heardAt,
    boolean listed,
    int missedProbes,
    Instant refutedAt) {
  /** Creates the entry of a member that this process did not know before. */
  public static ObservedMember of(MemberRecord record, boolean listed, Instant now) {
    return new ObservedMember(record, now, now, Instant.EPOCH, listed, 0, Instant.EPOCH);
  }

  /** Returns this member with a newer record. */
  public ObservedMember withRecord(MemberRecord newer, Instant now) {
    boolean sameState = newer.state() == record.state();
    boolean changed =
        !sameState
            || newer.incarnation() != record.incarnation()
            || newer.refutation() != record.refutation();
    boolean refuted =
        newer.state() == MemberState.ALIVE && newer.refutation() > record.refutation();
    return new ObservedMember(
        newer,
        changed ? now : changedAt,
        sameState ? suspectedAt : now,
        heardAt,
        listed,
        missedProbes,
        refuted ? now : refutedAt);
  }

  /** Returns this member as heard now, with no missed probes. */
  public ObservedMember withHeard(Instant now) {
    return new ObservedMember(record, changedAt, suspectedAt, now, listed, 0, refutedAt);
  }

  /** Returns this member with one more missed probe. */
  public ObservedMember withMissedProbe() {
    return new ObservedMember(
        record, changedAt, suspectedAt, heardAt, listed, missedProbes + 1, refutedAt);
  }

  /** Returns this member as contained in the list of VMs or not. */
  public ObservedMember withListed(boolean nowListed) {
    return new ObservedMember(
        record, changedAt, suspectedAt, heardAt, nowListed, missedProbes, refutedAt);
  }

  /**
   * Tells whether both call for the same link: no attribute differs that decides whether this
   * process links to the member, or to which address.
   */
  public boolean hasSameLinkAs(ObservedMember other) {
    return record.host().equals(other.record.host())
        && record.port() == other.record.port()
        && record.zone().equals(other.record.zone())
        && record.state() == other.record.state()
        && record.incarnation() == other.record.incarnation()
        && listed == other.listed;
  }
}
