package dev.ibishub.entry;

import dev.ibishub.core.MemberRecord;
import dev.ibishub.core.MemberRole;
import dev.ibishub.core.MemberState;
import dev.ibishub.outbound.VirtualMachine;
import dev.ibishub.wire.generated.Member;
import java.util.Locale;

/** Converts members between the core's record, the wire message and the platform's VM list. */
final class MemberConverter {
  private static final String WIRE_PREFIX = "MEMBER_STATE_";

  private MemberConverter() {}

  static Member toWire(MemberRecord member) {
    return Member.newBuilder()
        .setProcessId(member.id())
        .setRole(member.role().name())
        .setZone(member.zone())
        .setHost(member.host())
        .setPort(member.port())
        .setCallerUrl(member.callerUrl())
        .setIncarnation(member.incarnation())
        .setRefutation(member.refutation())
        .setState(
            dev.ibishub.wire.generated.MemberState.valueOf(WIRE_PREFIX + member.state().name()))
        .setLoad(member.load())
        .build();
  }

  static MemberRecord fromWire(Member member) {
    return new MemberRecord(
        member.getProcessId(),
        MemberRole.valueOf(member.getRole()),
        member.getZone(),
        member.getHost(),
        member.getPort(),
        member.getCallerUrl(),
        member.getIncarnation(),
        member.getRefutation(),
        MemberState.valueOf(member.getState().name().substring(WIRE_PREFIX.length())),
        member.getLoad());
  }

  static MemberRecord fromList(VirtualMachine machine) {
    return new MemberRecord(
        machine.id(),
        MemberRole.valueOf(machine.role().toUpperCase(Locale.ROOT)),
        machine.zone(),
        machine.host(),
        machine.port(),
        "",
        0,
        0,
        machine.leaving() ? MemberState.LEAVING : MemberState.ALIVE,
        0);
  }
}
