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
   * An entry refuses request r1 as not run while its attempt r1.1 runs on an engine: the caller
   * sends it again and gets two answers' worth of work. The audit must find it.
   */
  @Test
  void anAttemptThatRanThoughRefusedIsFound() throws Exception {
    assertThat(auditOfEngine("r1.1")).hasSize(1);
  }

  @Test
  void anotherRequestWithALongerNameIsNoBreach() throws Exception {
    assertThat(auditOfEngine("r10.1")).isEmpty();
  }

  @Test
  void aKeyThatRanTwiceIsFound() throws Exception {
    assertThat(auditOfService(CallerSession.Outcome.DONE, 2)).hasSize(1);
  }

  @Test
  void aKeyToldAsNotRunThatRanIsFound() throws Exception {
    assertThat(auditOfService(CallerSession.Outcome.NOT_RUN, 1)).hasSize(1);
  }

  @Test
  void aKeyToldAsDoneThatNeverRanIsFound() throws Exception {
    assertThat(auditOfService(CallerSession.Outcome.DONE, 0)).hasSize(1);
  }

  @Test
  void aKeyThatRanOnceAndWasToldSoIsNoBreach() throws Exception {
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

  private static List<String> auditOfService(CallerSession.Outcome told, int executions)
      throws Exception {
    try (StandInFixture fixture = StandInFixture.start("service")) {
      HttpPlainService service = HttpPlainService.create(fixture.base(), fixture.client());
      for (int execution = 0; execution < executions; execution++) {
        service.call(incentive()).join();
      }
      return ExecutionAudit.check(
          fixture.client(),
          options("--audit-services", fixture),
          List.of(ending(told, Optional.of("key-1"), List.of())));
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
