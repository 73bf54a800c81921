package dev.ibishub.standins;

import static dev.ibishub.standins.StandInFixture.codeOf;
import static dev.ibishub.standins.StandInFixture.failureOf;
import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.ResultCode;
import dev.ibishub.core.ResultException;
import dev.ibishub.engines.HttpPlainService;
import dev.ibishub.engines.PlainService;
import dev.ibishub.engines.ServiceAnswer;
import dev.ibishub.engines.ServiceRequest;
import dev.ibishub.outbound.HttpVirtualMachineList;
import dev.ibishub.outbound.HttpWeightStore;
import dev.ibishub.outbound.OutboundJson;
import dev.ibishub.outbound.VirtualMachine;
import dev.ibishub.outbound.WeightStore;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class SmallStandInsTest {
  private static final List<VirtualMachine> MACHINES =
      List.of(new VirtualMachine("entry-1", "entry", "vake", "127.0.0.1", 7001, true));

  @Test
  void echoesAndRecordsServiceCall() throws Exception {
    try (StandInFixture fixture = StandInFixture.start("service")) {
      ServiceAnswer answer = service(fixture).call(request("POST")).join();
      ServiceStandIn.Echo echo = OutboundJson.read(answer.body(), ServiceStandIn.Echo.class);
      assertThat(answer.status()).isEqualTo(200);
      assertThat(echo).isEqualTo(new ServiceStandIn.Echo("POST", "/incentives?a=1", "five", 1));
      ServiceStandIn.Audit audit = fixture.audit("/control/executions", ServiceStandIn.Audit.class);
      assertThat(audit.byKey()).containsEntry("key-1", 1);
      assertThat(audit.executions().get(0).requestId()).isEqualTo("request-1");
    }
  }

  /**
   * Guards against running a call twice. The service posts an incentive but its answer is lost:
   * were the result "not run", or did the client retry by itself, the points would be posted twice.
   */
  @Test
  void reportsOutcomeUnknownAndRunsOnceWhenServiceAnswerIsLost() throws Exception {
    try (StandInFixture fixture = StandInFixture.start("service")) {
      fixture.inject(Faults.none().withLoseNextAnswers(1));
      assertThat(codeOf(service(fixture).call(request("POST"))))
          .isEqualTo(ResultCode.OUTCOME_UNKNOWN);
      assertThat(fixture.audit("/control/executions", ServiceStandIn.Audit.class).count())
          .isEqualTo(1);
    }
  }

  @Test
  void reportsTargetUnreachableWhenServiceDoesNotListen() throws Exception {
    try (StandInFixture fixture = StandInFixture.start("service")) {
      PlainService service =
          HttpPlainService.create(StandInFixture.unusedAddress(), fixture.client());
      assertThat(codeOf(service.call(request("POST")))).isEqualTo(ResultCode.TARGET_UNREACHABLE);
    }
  }

  @Test
  void listsMachinesAfterChange() throws Exception {
    try (StandInFixture fixture = StandInFixture.start("vm-list")) {
      assertThat(readAfterChange(fixture)).isEqualTo(MACHINES);
    }
  }

  @Test
  void listsOldMachinesDuringLag() throws Exception {
    try (StandInFixture fixture = StandInFixture.start("vm-list", "--lag-millis", "3600000")) {
      assertThat(readAfterChange(fixture)).isEmpty();
    }
  }

  @Test
  void refusesReservationWithRetryTimeWhileFetchRuns() throws Exception {
    try (StandInFixture fixture =
        StandInFixture.start("weight-store", "--bytes-per-second", "1000")) {
      WeightStore store = HttpWeightStore.create(fixture.base(), fixture.client());
      Instant before = Instant.now();
      store.reserve("dictionary", 3_600_000).join();
      ResultException failure = failureOf(store.reserve("coding", 1));
      assertThat(failure.code()).isEqualTo(ResultCode.WEIGHT_STORE_BUSY);
      assertThat(failure.retryAt().orElseThrow()).isAfter(before.plusSeconds(3000));
    }
  }

  private static List<VirtualMachine> readAfterChange(StandInFixture fixture) throws Exception {
    fixture.control("PUT", "/control/virtual-machines", OutboundJson.write(MACHINES));
    return HttpVirtualMachineList.create(fixture.base(), fixture.client()).read().join();
  }

  private static PlainService service(StandInFixture fixture) {
    return HttpPlainService.create(fixture.base(), fixture.client());
  }

  private static ServiceRequest request(String method) {
    return new ServiceRequest(
        "request-1",
        method,
        "/incentives?a=1",
        Map.of("Idempotency-Key", List.of("key-1"), "Connection", List.of("close")),
        "five".getBytes(StandardCharsets.UTF_8),
        Instant.now().plusSeconds(60));
  }
}
