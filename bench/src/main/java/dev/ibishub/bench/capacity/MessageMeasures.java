package dev.ibishub.bench.capacity;

import dev.ibishub.bench.capacity.Measure.Growth;
import dev.ibishub.core.MemberRecord;
import dev.ibishub.wire.generated.Frame;
import dev.ibishub.wire.generated.Member;
import dev.ibishub.wire.generated.MemberState;
import dev.ibishub.wire.generated.MembershipDigest;
import dev.ibishub.wire.generated.TargetReport;
import java.time.Instant;
import java.util.List;
import java.util.stream.IntStream;

/** Measures the sizes of control messages on the wire. */
public final class MessageMeasures {
  private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
  private static final int[] SERVED = {1, 2, 4, 8};
  private static final int[] MEMBERS = {7, 40, 370, 5070};

  private MessageMeasures() {}

  static List<Measure> all() {
    return List.of(
        Measure.over(
            "report of a target",
            "bytes",
            "names served",
            Growth.LINEAR,
            SERVED,
            count -> report(count)),
        Measure.over(
            "digest of members",
            "bytes",
            "members known",
            Growth.LOGARITHMIC,
            MEMBERS,
            count -> digest(count)));
  }

  private static double report(int served) {
    TargetReport.Builder report =
        TargetReport.newBuilder()
            .setTarget("replica-4700")
            .setSequence(1_000_000)
            .setEngineReachable(true)
            .setQueued(10)
            .setRunning(64)
            .setLimit(64)
            .setQueuedTokens(1234.5)
            .setTokensPerSecond(6789.1)
            .setGroup("group-17")
            .setRank(255)
            .setZone("region-1-zone-12")
            .setMeasuredAtMillis(NOW.toEpochMilli())
            .setHighestEpoch(1000)
            .setConfigurationRevision(1_000_000);
    IntStream.range(0, served).forEach(number -> report.addServed("model-" + number + "/v12"));
    return Frame.newBuilder().setTargetReport(report).build().getSerializedSize();
  }

  private static double digest(int members) {
    return digestBytes(EntryMeasures.membership(members).digest(NOW.plusSeconds(60)));
  }

  /** Returns the size of a digest message in bytes. */
  public static int digestBytes(List<MemberRecord> records) {
    MembershipDigest.Builder digest = MembershipDigest.newBuilder().setSender("entry-0");
    records.forEach(record -> digest.addMembers(member(record)));
    return Frame.newBuilder().setMembershipDigest(digest).build().getSerializedSize();
  }

  private static Member member(MemberRecord record) {
    return Member.newBuilder()
        .setProcessId(record.id())
        .setRole(record.role().name())
        .setZone(record.zone())
        .setHost(record.host())
        .setPort(record.port())
        .setIncarnation(record.incarnation())
        .setState(MemberState.MEMBER_STATE_ALIVE)
        .setCallerUrl(record.callerUrl())
        .setLoad(record.load())
        .build();
  }
}
