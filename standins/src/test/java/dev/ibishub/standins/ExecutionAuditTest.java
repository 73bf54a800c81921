package dev.ibishub.standins;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.engines.HttpModelEngine;
import dev.ibishub.engines.HttpPlainService;
import dev.ibishub.engines.ServiceRequest;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

class ExecutionAuditTest {
  /**
   * Guards against an entry that refuses a request as not run while one of its attempts runs:
   * request r1 is refused although attempt r1.1 started on an engine, so a caller's retry doubles
   * the work.
   */
  @Test
  void findsAttemptThatRanThoughRefusedAsNotRun() throws Exception {
    assertThat(auditOfEngine("r1.1")).hasSize(1);
  }

  @Test
  void ignoresRequestWhoseIdOnlyBeginsAlike() throws Exception {
    assertThat(auditOfEngine("r10.1")).isEmpty();
  }

  @Test
  void findsKeyThatRanTwice() throws Exception {
    assertThat(auditOfService(CallerSession.Outcome.DONE, 2)).hasSize(1);
  }

  @Test
  void findsKeyReportedAsNotRunThatRan() throws Exception {
    assertThat(auditOfService(CallerSession.Outcome.NOT_RUN, 1)).hasSize(1);
  }

  @Test
  void findsKeyReportedAsDoneThatNeverRan() throws Exception {
    assertThat(auditOfService(CallerSession.Outcome.DONE, 0)).hasSize(1);
  }

  @Test
  void acceptsKeyReportedAsDoneThatRanOnce() throws Exception {
    assertThat(auditOfService(CallerSession.Outcome.DONE, 1)).isEmpty();
  }

  private static List<String> auditOfEngine(String startedStream) throws Exception {
    try (StandInFixture fixture = StandInFixture.start("engine", "--step-millis", "1")) {
      HttpModelEngine.create(fixture.base(), fixture.client())
          .generate(StandInFixture.call(startedStream, "ibis", 1, 0), (number, text) -> {})
          .join();
      return ExecutionAudit.check(
          fixture.client(),
          options("--audit-engines", fixture),
          List.of(ending(CallerSession.Outcome.DONE, Optional.empty(), List.of("r1"))));
    }
  }

  private static List<String> auditOfService(CallerSession.Outcome reported, int executions)
      throws Exception {
    try (StandInFixture fixture = StandInFixture.start("service")) {
      HttpPlainService service = HttpPlainService.create(fixture.base(), fixture.client());
      for (int execution = 0; execution < executions; execution++) {
        service.call(incentive()).join();
      }
      return ExecutionAudit.check(
          fixture.client(),
          options("--audit-services", fixture),
          List.of(ending(reported, Optional.of("key-1"), List.of())));
    }
  }

  private static LoadOptions options(String audit, StandInFixture fixture) {
    return LoadOptions.of(LoadOptions.parser().parse(audit, fixture.base().toString()));
  }

  private static ServiceRequest incentive() {
    return new ServiceRequest(
        "r2",
        "POST",
        "/incentives",
        Map.of("Idempotency-Key", List.of("key-1")),
        new byte[0],
        Instant.now().plusSeconds(60));
  }

  private static CallerSession.Ending ending(
      CallerSession.Outcome outcome, Optional<String> key, List<String> notRunIds) {
    PlannedRequest request =
        new PlannedRequest(
            0,
            0,
            new LoadOptions.Workspace("w", "k", 1),
            "POST",
            "/services/panel/incentives",
            Optional.empty(),
            OptionalInt.empty(),
            key);
    return new CallerSession.Ending(request, outcome, 0, 1, 0, 0, List.of(), notRunIds, 0, "");
  }
}
