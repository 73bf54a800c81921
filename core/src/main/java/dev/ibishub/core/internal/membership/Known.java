package dev.ibishub.core.internal.membership;

import dev.ibishub.core.MemberRecord;
import dev.ibishub.core.MemberState;
import java.time.Instant;

/**
 * One member with what this process has seen of it. Immutable.
 *
 * @param record newest knowledge
 * @param changedAt when the record last changed in more than its load
 * @param suspectedAt when the suspicion that holds began; meaningless in other states
 * @param heardAt when the member itself was last heard; {@link Instant#EPOCH} if never
 * @param listed whether the list of VMs last named it
 * @param misses probes in a row without an answer
 * @param refutedAt when it last refuted a suspicion; {@link Instant#EPOCH} if never
 */
public record Known(
    MemberRecord record,
    Instant changedAt,
    Instant suspectedAt,
    Instant heardAt,
    boolean listed,
    int misses,
    Instant refutedAt) {
  /** A member that is new to this process. */
  public static Known of(MemberRecord record, boolean listed, Instant now) {
    return new Known(record, now, now, Instant.EPOCH, listed, 0, Instant.EPOCH);
  }

  /** With newer knowledge. */
  public Known with(MemberRecord newer, Instant now) {
    boolean sameState = newer.state() == record.state();
    boolean changed =
        !sameState
            || newer.incarnation() != record.incarnation()
            || newer.refutation() != record.refutation();
    boolean refuted =
        newer.state() == MemberState.ALIVE && newer.refutation() > record.refutation();
    return new Known(
        newer,
        changed ? now : changedAt,
        sameState ? suspectedAt : now,
        heardAt,
        listed,
        misses,
        refuted ? now : refutedAt);
  }

  /** Heard just now. */
  public Known heard(Instant now) {
    return new Known(record, changedAt, suspectedAt, now, listed, 0, refutedAt);
  }

  /** Missed once more. */
  public Known missed() {
    return new Known(record, changedAt, suspectedAt, heardAt, listed, misses + 1, refutedAt);
  }

  /** Named or no longer named by the list of VMs. */
  public Known listed(boolean nowListed) {
    return new Known(record, changedAt, suspectedAt, heardAt, nowListed, misses, refutedAt);
  }

  /** Whether a link to the member would be made to the same place, or to none, for both. */
  public boolean hasSameLinkAs(Known other) {
    return record.host().equals(other.record.host())
        && record.port() == other.record.port()
        && record.zone().equals(other.record.zone())
        && record.state() == other.record.state()
        && record.incarnation() == other.record.incarnation()
        && listed == other.listed;
  }
}
