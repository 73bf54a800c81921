package dev.ibishub.bench.capacity;

import dev.ibishub.bench.capacity.Measure.Growth;
import dev.ibishub.core.Admission;
import dev.ibishub.core.AdmissionOptions;
import dev.ibishub.core.AdmissionQuery;
import dev.ibishub.core.MemberRecord;
import dev.ibishub.core.MemberRole;
import dev.ibishub.core.MemberState;
import dev.ibishub.core.Membership;
import dev.ibishub.core.MembershipOptions;
import dev.ibishub.core.RouteQuery;
import dev.ibishub.core.Router;
import dev.ibishub.core.RouterOptions;
import dev.ibishub.core.TargetStatus;
import dev.ibishub.core.WorkspaceLimits;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Measures the cost of an entry's state and decisions. */
final class EntryMeasures {
  private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
  private static final int[] TARGETS = {16, 100, 1000, 4700};
  private static final int[] WORKSPACES = {10, 100, 1000, 11_000};
  private static final int[] MEMBERS = {7, 40, 370, 5070};
  private static final int DECISIONS = 20_000;
  private static final int FEW_CALLS = 200;
  private static final WorkspaceLimits LIMITS = new WorkspaceLimits(1e9, 1e9, 1000, 1);

  private EntryMeasures() {}

  static List<Measure> all(long seed) {
    return Stream.of(routingMeasures(seed), admissionMeasures(), membershipMeasures())
        .flatMap(List::stream)
        .toList();
  }

  private static List<Measure> routingMeasures(long seed) {
    return List.of(
        Measure.over(
            "route: choose, sent, finished",
            "us",
            "targets of one model",
            Growth.LOGARITHMIC,
            TARGETS,
            count -> route(count, seed).micros()),
        Measure.over(
            "route: allocated",
            "bytes",
            "targets of one model",
            Growth.LOGARITHMIC,
            TARGETS,
            count -> route(count, seed).bytes()),
        Measure.over(
            "report of a target taken",
            "us",
            "targets of one model",
            Growth.LOGARITHMIC,
            TARGETS,
            count -> takeReports(count).micros()),
        Measure.over(
            "estimated start",
            "us",
            "targets of one model",
            Growth.LOGARITHMIC,
            TARGETS,
            count -> estimate(count).micros()),
        Measure.over(
            "router state",
            "bytes",
            "targets",
            Growth.LINEAR,
            TARGETS,
            count -> Probe.retainedBytes(() -> router(count))));
  }

  private static List<Measure> admissionMeasures() {
    return List.of(
        Measure.over(
            "admit, started, finished",
            "us",
            "workspaces",
            Growth.LOGARITHMIC,
            WORKSPACES,
            count -> admit(count).micros()),
        Measure.over(
            "admit: allocated",
            "bytes",
            "workspaces",
            Growth.LOGARITHMIC,
            WORKSPACES,
            count -> admit(count).bytes()),
        Measure.over(
            "use collected for peers",
            "us",
            "workspaces active in 10 s",
            Growth.LINEAR,
            WORKSPACES,
            count -> collect(count).micros()),
        Measure.over(
            "use of a peer taken",
            "us",
            "workspaces in the report",
            Growth.LINEAR,
            WORKSPACES,
            count -> observe(count).micros()),
        Measure.over(
            "admission state",
            "bytes",
            "workspaces",
            Growth.LINEAR,
            WORKSPACES,
            count -> Probe.retainedBytes(() -> admission(count))));
  }

  private static List<Measure> membershipMeasures() {
    return List.of(
        Measure.over(
            "digest made",
            "us",
            "members known",
            Growth.LINEAR,
            MEMBERS,
            count -> digest(count).micros()),
        Measure.over(
            "digest of 64 taken",
            "us",
            "members known",
            Growth.LINEAR,
            MEMBERS,
            count -> merge(count).micros()),
        Measure.over(
            "links chosen",
            "us",
            "members known",
            Growth.LINEAR,
            MEMBERS,
            count -> connect(count).micros()),
        Measure.over(
            "membership state",
            "bytes",
            "members known",
            Growth.LINEAR,
            MEMBERS,
            count -> Probe.retainedBytes(() -> membership(count))));
  }

  private static Probe.Cost route(int count, long seed) {
    Router router = router(count);
    Random random = new Random(seed);
    return Probe.costOf(
        DECISIONS,
        call -> {
          RouteQuery query = new RouteQuery("model", "zone-0", call + 1, 200, Set.of());
          String chosen = router.choose(query, NOW, random).orElseThrow();
          // The measurement time is now; otherwise sent requests would accumulate on top of a stale
          // report.
          router.sent(chosen, 200, NOW);
          router.finished(chosen, 200, false, NOW, NOW);
          if (call % count == 0) {
            router.report(status(0), NOW);
          }
        });
  }

  private static Probe.Cost takeReports(int count) {
    Router router = router(count);
    List<TargetStatus> reports = IntStream.range(0, count).mapToObj(EntryMeasures::status).toList();
    return Probe.costOf(DECISIONS, call -> router.report(reports.get(call % count), NOW));
  }

  private static Probe.Cost estimate(int count) {
    Router router = router(count);
    return Probe.costOf(DECISIONS / 10, call -> router.estimatedStart("model", NOW));
  }

  private static Router router(int count) {
    Router router = Router.create(RouterOptions.defaults());
    IntStream.range(0, count).forEach(number -> router.report(status(number), NOW));
    return router;
  }

  private static TargetStatus status(int number) {
    return new TargetStatus(
        "target-" + number,
        "zone-" + number % 13,
        false,
        true,
        3,
        64,
        64,
        600,
        6000,
        Set.of("model"),
        NOW);
  }

  private static Probe.Cost admit(int count) {
    Admission admission = admission(count);
    return Probe.costOf(
        DECISIONS,
        call -> {
          String workspace = "workspace-" + call % count;
          admission.admit(query(workspace), NOW);
          admission.started(workspace, 200, NOW);
          admission.finished(workspace, 200, 150, NOW);
        });
  }

  private static Probe.Cost collect(int count) {
    Admission admission = admission(count);
    return Probe.costOf(FEW_CALLS, call -> admission.usage(NOW));
  }

  private static Probe.Cost observe(int count) {
    Admission admission = admission(count);
    var usage = admission(count).usage(NOW);
    return Probe.costOf(FEW_CALLS, call -> admission.observePeerUsage("entry-1", usage, NOW));
  }

  private static Admission admission(int count) {
    Admission admission = Admission.create(AdmissionOptions.defaults());
    for (int number = 0; number < count; number++) {
      String workspace = "workspace-" + number;
      admission.admit(query(workspace), NOW);
      admission.started(workspace, 200, NOW);
      admission.finished(workspace, 200, 150, NOW);
    }
    return admission;
  }

  private static AdmissionQuery query(String workspace) {
    return new AdmissionQuery(workspace, LIMITS, 0, 200, 1, NOW, NOW.plusSeconds(60));
  }

  private static Probe.Cost digest(int count) {
    Membership membership = membership(count);
    return Probe.costOf(FEW_CALLS, call -> membership.digest(NOW.plusSeconds(60)));
  }

  private static Probe.Cost merge(int count) {
    Membership membership = membership(count);
    List<MemberRecord> digest = membership.digest(NOW.plusSeconds(60));
    return Probe.costOf(FEW_CALLS, call -> membership.merge(digest, NOW));
  }

  private static Probe.Cost connect(int count) {
    Membership membership = membership(count);
    return Probe.costOf(FEW_CALLS, call -> membership.membersToLink());
  }

  static Membership membership(int count) {
    Membership membership = Membership.create(member(0), MembershipOptions.defaults());
    List<MemberRecord> others = new ArrayList<>();
    IntStream.range(1, count).forEach(number -> others.add(member(number)));
    membership.applyList(others, NOW);
    membership.merge(others, NOW);
    return membership;
  }

  /** Returns a member; one in fourteen is an entry, the ratio of 370 entries to 4,700 replicas. */
  private static MemberRecord member(int number) {
    boolean entry = number % 14 == 0;
    return new MemberRecord(
        (entry ? "entry-" : "agent-") + number,
        entry ? MemberRole.ENTRY : MemberRole.AGENT,
        "region-1-zone-" + number % 13,
        "10.0." + number / 250 + "." + number % 250,
        7000,
        entry ? "http://10.0." + number / 250 + "." + number % 250 + ":8000" : "",
        1000 + number,
        0,
        MemberState.ALIVE,
        3);
  }
}
