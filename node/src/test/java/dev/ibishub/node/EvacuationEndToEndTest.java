package dev.ibishub.node;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.ResultCode;
import dev.ibishub.platform.standins.Deployment;
import dev.ibishub.platform.standins.RankGroup;
import dev.ibishub.platform.standins.TargetStandIn;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Runs entries before targets in two zones, of which the operator takes one out of service. */
final class EvacuationEndToEndTest {
  private static final String EVACUATED_ZONE = "z2";
  private static final int REQUESTS = 10;
  private static final int RANKS = 4;

  private Deployment deployment;
  private TargetStandIn staying;
  private TargetStandIn evacuated;

  @BeforeEach
  void start() throws IOException, InterruptedException {
    deployment = new Deployment(Deployment.Programs.onThisClassPath(NodeMain.class.getName()));
    deployment.publish(3, "pages", "key-1");
    staying = deployment.startTarget("i-1", "127.0.0.1", "pages");
    evacuated = deployment.startTarget("i-2", "127.0.0.1", "pages", EVACUATED_ZONE);
    deployment.startEntry("entry-1", "127.0.1.1", "127.0.1.1");
    deployment.startEntry("entry-2", "127.0.1.2", "127.0.1.1");
    deployment.await("both entries serve", () -> servesAt("entry-1") && servesAt("entry-2"));
  }

  @AfterEach
  void stop() {
    deployment.close();
  }

  private HttpResponse<String> page(String entry) throws IOException, InterruptedException {
    return deployment.call(entry, "GET", "/page/x", "key-1");
  }

  private boolean servesAt(String entry) throws IOException, InterruptedException {
    return page(entry).statusCode() == 200;
  }

  private boolean getsNoneOfNext(TargetStandIn target, int requests)
      throws IOException, InterruptedException {
    int before = target.arrivals().size();
    for (int i = 0; i < requests; i++) {
      page("entry-1");
      page("entry-2");
    }
    return target.arrivals().size() == before;
  }

  private void evacuate() throws InterruptedException {
    deployment.store().evacuate(EVACUATED_ZONE, "{}");
    awaitInForce();
  }

  private void restore() throws InterruptedException {
    deployment.store().restore(EVACUATED_ZONE);
    awaitRestored();
  }

  private void awaitInForce() throws InterruptedException {
    deployment.await(
        "evacuation in force", () -> isLastEventOfBothEntries("zone.evacuated", EVACUATED_ZONE));
  }

  private void awaitRestored() throws InterruptedException {
    deployment.await(
        "zone restored", () -> isLastEventOfBothEntries("zone.restored", EVACUATED_ZONE));
    deployment.await("zone gets requests", () -> !getsNoneOfNext(evacuated, REQUESTS));
  }

  private boolean isLastEventOfBothEntries(String event, String zone) throws IOException {
    return isLastEvent("entry-1", event, zone) && isLastEvent("entry-2", event, zone);
  }

  /** Whether the last change of a zone that an entry logged is this one. */
  private boolean isLastEvent(String entry, String event, String zone) throws IOException {
    return deployment
        .logOf(entry)
        .lines()
        .filter(line -> line.contains("\"event\":\"zone."))
        .filter(line -> line.contains("\"zone\":\"" + zone + "\""))
        .reduce((first, second) -> second)
        .filter(line -> line.contains(event))
        .isPresent();
  }

  private void stream(String entry) throws InterruptedException {
    try {
      deployment.call(entry, "POST", "/stream/a", "");
    } catch (IOException e) {
      // The stream breaks off, as there is no other target to resume it at.
      assertThat(e).isNotNull();
    }
  }

  // Guards against requests that are sent into a zone after the operator took it out of service:
  // only first sends left it out, while resumed streams and retries went to any other target.
  @Test
  void evacuatedZoneGetsNoRequestOfAnyKindUntilItIsRestored()
      throws IOException, InterruptedException {
    evacuate();
    int before = evacuated.arrivals().size();
    staying.breakStreamsAfter(2);
    for (int i = 0; i < REQUESTS; i++) {
      stream("entry-1");
      stream("entry-2");
    }
    staying.askForBackOff(Duration.ofHours(1));
    assertThat(page("entry-1").statusCode()).isEqualTo(503);
    assertThat(page("entry-2").statusCode()).isEqualTo(503);
    assertThat(evacuated.arrivals()).hasSize(before);

    restore();
    assertThat(page("entry-1").statusCode()).isEqualTo(200);
    assertThat(page("entry-2").statusCode()).isEqualTo(200);
  }

  // Guards against callers that wait for a target, or are told to come back at no certain time,
  // while all zones of their service are out of service.
  @Test
  void requestIsRefusedWithTimeToRetryWhileAllZonesAreEvacuated()
      throws IOException, InterruptedException {
    deployment.store().evacuate("z1", "{}");
    deployment.store().evacuate(EVACUATED_ZONE, "{}");
    deployment.await(
        "both entries refuse",
        () -> page("entry-1").statusCode() == 503 && page("entry-2").statusCode() == 503);

    HttpResponse<String> refusal = page("entry-1");
    assertThat(refusal.headers().firstValue("Retry-After")).isPresent();
    assertThat(refusal.body()).contains("\"code\":" + ResultCode.NO_TARGET.number());

    deployment.store().restore("z1");
    deployment.await("both serve", () -> servesAt("entry-1") && servesAt("entry-2"));
    assertThat(getsNoneOfNext(evacuated, REQUESTS)).isTrue();
  }

  // Guards against an evacuation that is not obeyed because its record cannot be read or another
  // one names an unknown zone, and against one that stays in force after it was lifted in quick
  // succession or its record was compacted away.
  @Test
  void lastOfManyRecordsCounts() throws IOException, InterruptedException {
    for (int i = 0; i < REQUESTS; i++) {
      deployment.store().restore(EVACUATED_ZONE);
      deployment.store().evacuate(EVACUATED_ZONE, "not an object");
    }
    deployment.store().evacuate("unknown", "{}");
    deployment.await(
        "unknown zone known", () -> isLastEventOfBothEntries("zone.evacuated", "unknown"));
    awaitInForce();
    assertThat(getsNoneOfNext(evacuated, REQUESTS)).isTrue();

    for (int i = 0; i < REQUESTS; i++) {
      deployment.store().evacuate(EVACUATED_ZONE, "{}");
      deployment.store().restore(EVACUATED_ZONE);
    }
    deployment.store().evacuate("last", "{}");
    deployment.await("last zone known", () -> isLastEventOfBothEntries("zone.evacuated", "last"));
    awaitRestored();

    evacuate();
    deployment.store().setDown(true);
    deployment.store().restore(EVACUATED_ZONE);
    deployment.store().forgetHistory();
    assertThat(getsNoneOfNext(evacuated, REQUESTS)).isTrue();
    deployment.store().setDown(false);
    awaitRestored();

    // The first record after the lost history has the offset at which that history ended.
    evacuate();
  }

  // Guards against an entry that starts and sends requests into an evacuated zone until it has read
  // the store.
  @Test
  void entryThatStartsKnowsEvacuationsBeforeItServes() throws IOException, InterruptedException {
    evacuate();
    deployment.store().setDown(true);
    int before = evacuated.arrivals().size();
    deployment.startEntry("entry-3", "127.0.1.3", "127.0.1.1");
    deployment.await("entry-3 serves", () -> servesAt("entry-3"));
    for (int i = 0; i < REQUESTS; i++) {
      assertThat(page("entry-3").statusCode()).isEqualTo(200);
    }

    assertThat(evacuated.arrivals()).hasSize(before);
  }

  // Guards against a loss of power that makes the entries forget an evacuation while the store,
  // which holds it, is down.
  @Test
  void evacuationOutlastsRestartOfAllEntriesWhileStoreIsDown()
      throws IOException, InterruptedException {
    evacuate();
    deployment.store().setDown(true);
    int before = evacuated.arrivals().size();
    for (String name : List.of("entry-1", "entry-2")) {
      deployment.process(name).destroyForcibly().waitFor();
    }
    deployment.startEntry("entry-1", "127.0.1.1", "127.0.1.1");
    deployment.startEntry("entry-2", "127.0.1.2", "127.0.1.1");
    deployment.await(
        "restarted entries refuse",
        () -> page("entry-1").statusCode() == 503 && page("entry-2").statusCode() == 503);
    assertThat(deployment.readiness("entry-1")).isEqualTo(503);
    deployment.store().setDown(false);
    deployment.await("both serve", () -> servesAt("entry-1") && servesAt("entry-2"));
    assertThat(getsNoneOfNext(evacuated, REQUESTS)).isTrue();

    assertThat(evacuated.arrivals()).hasSize(before);
  }

  // Guards against a group that stands still, or keeps its expert map, because the ranks of an
  // evacuated zone are no longer counted among its members.
  @Test
  void ranksOfEvacuatedZoneTakeNoRequestsButStepAndSwitchMaps()
      throws IOException, InterruptedException {
    RankGroup group =
        deployment.startGroup(
            "groups",
            new RankGroup.Options(RANKS, 2, 8, 4, 2, 3),
            rank -> rank % 2 == 0 ? "z1" : EVACUATED_ZONE);
    for (int rank = 0; rank < RANKS; rank++) {
      deployment.startAgent("agent-" + rank, deployment.rank(rank));
    }
    evacuate();
    deployment.publish(9, "groups", "key-1");
    deployment.await(
        "requests reach the ranks of the other zone",
        () -> !getsNoneOfNext(deployment.rank(0), REQUESTS));
    group.setPopularity(new double[][] {{9, 1, 1, 1, 9, 1, 1, 1}, {1, 1, 1, 1, 1, 1, 1, 1}});
    deployment.await("a switch of all ranks", () -> group.switches() >= RANKS);
    long step = group.step();
    for (int i = 0; i < REQUESTS; i++) {
      assertThat(page("entry-1").statusCode()).isEqualTo(200);
      assertThat(page("entry-2").statusCode()).isEqualTo(200);
    }
    deployment.await("further steps", () -> group.step() > step);

    assertThat(deployment.rank(1).arrivals()).isEmpty();
    assertThat(deployment.rank(3).arrivals()).isEmpty();
    assertThat(group.breaches()).isEmpty();
  }
}
