package dev.ibishub.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class AdmissionTest {
  private static final Instant NOW = Instant.parse("2026-12-02T00:00:00Z");
  private static final WorkspaceLimits TEN_REQUESTS =
      new WorkspaceLimits(10, Double.POSITIVE_INFINITY, 1000, 1);

  private final Admission admission = Admission.create(AdmissionOptions.defaults());

  @Test
  void refusesRequestsAboveRateLimitWithRetryTime() {
    assertThat(admitted(admission, 30, NOW)).isEqualTo(10);
    AdmissionDecision refused = admission.admit(query("a", TEN_REQUESTS, 0, 60), NOW);

    assertThat(refused.code()).isEqualTo(ResultCode.WORKSPACE_LIMIT);
    assertThat(refused.retryAt()).hasValue(NOW);
    assertThat(admitted(admission, 30, NOW.plusSeconds(1))).isEqualTo(10);
  }

  /**
   * Guards against entries that each count only their own requests: seven of them would admit 70
   * requests a second under a limit of 10.
   */
  @Test
  void limitsRateOverAllEntriesTogether() {
    List<Admission> entries =
        IntStream.range(0, 7)
            .mapToObj(number -> Admission.create(AdmissionOptions.defaults()))
            .toList();
    int total = 0;
    for (int tenth = 0; tenth < 200; tenth++) {
      Instant now = NOW.plusMillis(100L * tenth);
      total += entries.stream().mapToInt(entry -> admitted(entry, 3, now)).sum();
      shareUse(entries, now);
    }

    // 20 seconds at 10 a second; each of the seven may burst once before the first report.
    assertThat(total).isBetween(195, 275);
  }

  /** A lost or repeated report of a peer must neither lose nor double its use. */
  @Test
  void chargesRepeatedPeerReportOnce() {
    Admission peer = Admission.create(AdmissionOptions.defaults());
    admitted(peer, 5, NOW);
    admission.observePeerUsage("peer", peer.usage(NOW), NOW);
    admission.observePeerUsage("peer", peer.usage(NOW), NOW);

    assertThat(admitted(admission, 30, NOW)).isEqualTo(5);
  }

  @Test
  void refusesRequestThatCannotFinishByDeadline() {
    AdmissionQuery query = query("a", WorkspaceLimits.unlimited(), 5, 3);

    AdmissionDecision decision = admission.admit(query, NOW);

    assertThat(decision.code()).isEqualTo(ResultCode.DEADLINE_UNREACHABLE);
    assertThat(decision.retryAt()).hasValue(NOW.plusSeconds(4));
  }

  /**
   * Guards against an estimate in first-in, first-out order, by which the backlog of a large
   * workspace gets a small one refused, although fair queueing would start the small one's request
   * at once.
   */
  @Test
  void admitsSmallWorkspaceDespiteBacklogOfLargeOne() {
    IntStream.range(0, 100)
        .forEach(
            number -> admission.admit(query("flood", WorkspaceLimits.unlimited(), 9, 600), NOW));

    assertThat(admission.admit(query("flood", WorkspaceLimits.unlimited(), 30, 600), NOW).code())
        .isEqualTo(ResultCode.OVERLOADED);
    assertThat(admission.admit(query("small", WorkspaceLimits.unlimited(), 30, 600), NOW).code())
        .isEqualTo(ResultCode.OK);
  }

  @Test
  void refusesRequestsAboveConcurrencyLimitUntilOneEnds() {
    WorkspaceLimits one =
        new WorkspaceLimits(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, 1, 1);
    admission.admit(query("a", one, 0, 60), NOW);

    assertThat(admission.admit(query("a", one, 0, 60), NOW).code())
        .isEqualTo(ResultCode.WORKSPACE_LIMIT);
    admission.started("a", 100, NOW);
    admission.finished("a", 100, 80, NOW);
    assertThat(admission.admit(query("a", one, 0, 60), NOW).admitted()).isTrue();
  }

  @Test
  void evictsIdleWorkspaces() {
    IntStream.range(0, 1000)
        .forEach(
            number -> {
              String workspace = "workspace" + number;
              Instant now = NOW.plusSeconds(number);
              admission.admit(query(workspace, WorkspaceLimits.unlimited(), 0, 9000), now);
              admission.started(workspace, 100, now);
              admission.finished(workspace, 100, 100, now);
            });

    assertThat(admission.knownWorkspaces()).isLessThan(150);
  }

  private static void shareUse(List<Admission> entries, Instant now) {
    for (int from = 0; from < entries.size(); from++) {
      for (int to = 0; to < entries.size(); to++) {
        if (from != to) {
          entries.get(to).observePeerUsage("entry-" + from, entries.get(from).usage(now), now);
        }
      }
    }
  }

  private static int admitted(Admission entry, int requests, Instant now) {
    return (int)
        IntStream.range(0, requests)
            .filter(number -> entry.admit(query("a", TEN_REQUESTS, 0, 600), now).admitted())
            .count();
  }

  private static AdmissionQuery query(
      String workspace, WorkspaceLimits limits, int startsInSeconds, int deadlineInSeconds) {
    return new AdmissionQuery(
        workspace,
        limits,
        0,
        100,
        1,
        NOW.plusSeconds(startsInSeconds),
        NOW.plusSeconds(deadlineInSeconds));
  }
}
