package dev.ibishub.administration;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.ResultCode;
import dev.ibishub.runtime.Timeouts;
import dev.ibishub.settings.OperatorSettings;
import dev.ibishub.settings.OperatorSettings.Role;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class ZoneEvacuationsTest {
  private static final String SITES =
      "{\"sites\": [{\"name\": \"tbilisi\", \"zones\": [\"vake\", \"saburtalo\"]}]}";

  private final FakeLog log = new FakeLog();
  private final FakeLog auditLog = new FakeLog();
  private final List<String> heardBySecond = new CopyOnWriteArrayList<>();
  private final ScheduledExecutorService timers = Executors.newSingleThreadScheduledExecutor();
  private final ConfigurationFollower firstFollower = startFollower(new CopyOnWriteArrayList<>());
  private final ConfigurationFollower secondFollower = startFollower(heardBySecond);
  private final OperatorApi first = api(firstFollower);
  private final OperatorApi second = api(secondFollower);

  private ConfigurationFollower startFollower(List<String> heard) {
    ConfigurationFollower follower =
        ConfigurationFollower.create(log, "tbilisi", ConfigurationFollower.Options.defaults());
    follower.addEvacuationListener(
        zones -> heard.add(zones + " at " + follower.current().revision()));
    CompletableFuture<Object> known = new CompletableFuture<>();
    follower.addListener(known::complete);
    follower.start();
    known.join();
    return follower;
  }

  private OperatorApi api(ConfigurationFollower follower) {
    return OperatorApi.create(
        follower,
        ConfigurationPublisher.create(
            log, follower, () -> Instant.EPOCH, Duration.ofMinutes(1), Timeouts.on(timers)),
        AuditTrail.on(auditLog),
        (target, order, operator) -> CompletableFuture.completedFuture(null),
        () -> "{}",
        () -> Instant.EPOCH);
  }

  @AfterEach
  void close() {
    firstFollower.close();
    secondFollower.close();
    timers.shutdownNow();
  }

  private static OperatorAnswer call(OperatorApi api, String method, String path, String body) {
    return api.answer(
            new OperatorCall(
                method, path, Map.of(), body, new OperatorSettings("nino", "t", Role.OPERATOR)))
        .join();
  }

  private static OperatorAnswer post(OperatorApi api, String path) {
    return call(api, "POST", path, "");
  }

  private void awaitSecond() {
    secondFollower.whenDecided(firstFollower.state().recordId()).join();
  }

  // Guards against an entry that goes on sending to a zone, or does so between a new configuration
  // and the evacuations of the same revision.
  @Test
  void everyEntryHearsOfEvacuationBeforeItsRevisionIsCurrent() {
    assertThat(post(first, "/zones/vake/evacuate").code()).isEqualTo(ResultCode.OK);
    assertThat(post(first, "/zones/vake/evacuate").code()).isEqualTo(ResultCode.OK);
    assertThat(firstFollower.evacuatedZones()).containsExactly("vake");
    awaitSecond();
    assertThat(secondFollower.evacuatedZones()).containsExactly("vake");
    assertThat(secondFollower.current().revision()).isEqualTo(1);

    assertThat(post(first, "/zones/vake/restore").code()).isEqualTo(ResultCode.OK);
    awaitSecond();
    assertThat(secondFollower.evacuatedZones()).isEmpty();
    assertThat(heardBySecond).containsExactly("[vake] at 0", "[] at 1");
  }

  // Guards against a zone that is restored by publishing a configuration from a file.
  @Test
  void evacuationOutlastsPublications() {
    assertThat(post(first, "/zones/vake/evacuate").code()).isEqualTo(ResultCode.OK);
    String publication =
        Json.object()
            .put("kind", "base")
            .put("basedOnRevision", 1)
            .put("content", SITES)
            .toString();
    assertThat(call(first, "POST", "/configuration", publication).code()).isEqualTo(ResultCode.OK);

    assertThat(firstFollower.evacuatedZones()).containsExactly("vake");
    assertThat(firstFollower.current().zones()).containsExactly("vake", "saburtalo");
    assertThat(call(first, "GET", "/configuration", "").body())
        .contains("\"evacuatedZones\":[\"vake\"]", "\"overlays\":{}");
    String direct = publication.replace("\"base\"", "\"overlay:" + EvacuatedZonesPart.SITE + "\"");
    assertThat(call(first, "POST", "/configuration", direct).code())
        .isEqualTo(ResultCode.MALFORMED_REQUEST);
  }

  // Guards against an evacuation that is lost because two operators gave orders at once.
  @Test
  void ordersGivenAtOnceThroughTwoEntriesBothCount() {
    CompletableFuture<OperatorAnswer> other =
        CompletableFuture.supplyAsync(() -> post(second, "/zones/vake/evacuate"));
    assertThat(post(first, "/zones/saburtalo/evacuate").code()).isEqualTo(ResultCode.OK);
    assertThat(other.join().code()).isEqualTo(ResultCode.OK);
    post(first, "/zones/none/restore");
    secondFollower.whenDecided(firstFollower.state().recordId()).join();
    firstFollower.whenDecided(secondFollower.state().recordId()).join();

    assertThat(firstFollower.evacuatedZones()).isEqualTo(Set.of("vake", "saburtalo"));
    assertThat(secondFollower.evacuatedZones()).isEqualTo(Set.of("vake", "saburtalo"));
  }

  @Test
  void ordersAndRefusalsAreRecorded() {
    post(first, "/zones/vake/evacuate");
    log.setAppendFault(FakeLog.AppendFault.REFUSED);
    assertThat(post(first, "/zones/vake/restore").code()).isEqualTo(ResultCode.LOG_UNAVAILABLE);
    assertThat(post(first, "/zones/vake/close").code()).isEqualTo(ResultCode.NOT_FOUND);

    assertThat(firstFollower.evacuatedZones()).containsExactly("vake");
    assertThat(AuditTrail.on(auditLog).last(10).join())
        .extracting(entry -> entry.action() + " " + entry.subject() + " " + entry.result())
        .containsExactly("evacuate zone:vake OK", "restore zone:vake LOG_UNAVAILABLE");
    assertThat(call(first, "GET", "/history", "").body()).contains("\"part\":\"evacuated-zones\"");
  }

  // Guards against an entry that forgets evacuations when it restarts, or learns the configuration
  // from another entry while the log is down.
  @Test
  void entryThatStartsLearnsEvacuationsFromAnother() {
    post(first, "/zones/vake/evacuate");
    log.setReadable(false);
    ConfigurationFollower late =
        ConfigurationFollower.create(log, "tbilisi", ConfigurationFollower.Options.defaults());
    late.acceptPeerSnapshot(firstFollower.encodeSnapshot());

    assertThat(late.isKnown()).isTrue();
    assertThat(late.evacuatedZones()).containsExactly("vake");
  }

  @Test
  void viewerMayNotEvacuate() {
    OperatorCall asViewer =
        new OperatorCall(
            "POST",
            "/zones/vake/evacuate",
            Map.of(),
            "",
            new OperatorSettings("arun", "t", Role.VIEWER));

    assertThat(first.answer(asViewer).join().code()).isEqualTo(ResultCode.FORBIDDEN);
    assertThat(firstFollower.evacuatedZones()).isEmpty();
  }
}
