package dev.ibishub.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class RouterTest {
  private static final Instant NOW = Instant.parse("2026-12-02T00:00:00Z");
  private static final int TARGETS = 10;

  private final Router router = Router.create(RouterOptions.defaults());
  private final Random random = new Random(7);

  /**
   * Guards against herding: all entries send all work to the one target that was idle in the last
   * report, until the next report shows it full and another one idle. The time to first token then
   * jumps with every report.
   */
  @Test
  void spreadsWorkDespiteStaleReportOfIdleTarget() {
    reportAll(50, 5000);
    router.report(status("target-0", 0, 0, false), NOW);

    long toIdle =
        IntStream.range(0, 200)
            .mapToObj(number -> chooseAndSend())
            .filter("target-0"::equals)
            .count();

    assertThat(toIdle).isLessThan(100);
  }

  /**
   * Guards against requests that are refused because their target is leaving, for example during an
   * upgrade.
   */
  @Test
  void doesNotChooseLeavingTarget() {
    reportAll(0, 0);
    router.report(status("target-0", 0, 0, true), NOW);

    assertThat(chosenTargets(100)).doesNotContain("target-0");
  }

  /**
   * A delayed report that was measured before the target began to leave must not make it eligible
   * again.
   */
  @Test
  void keepsTargetLeavingAfterOlderReport() {
    reportAll(0, 0);
    router.report(status("target-0", 0, 0, true), NOW);
    TargetStatus older = status("target-0", 0, 0, false);
    router.report(measuredAt(older, NOW.minusSeconds(1)), NOW);

    assertThat(chosenTargets(100)).doesNotContain("target-0");
  }

  /**
   * Guards against a dead target whose last report says idle and whose failures are not counted: it
   * would keep getting its share of the requests, and all of these would fail.
   */
  @Test
  void ejectsFailingTargetAndReadmitsItLater() {
    reportAll(0, 0);
    failAttempts("target-0", 5);

    assertThat(chosenTargets(100)).doesNotContain("target-0");
    Instant later = NOW.plusSeconds(30);
    assertThat(chosenTargetsAt(200, later)).contains("target-0");
  }

  /** Guards against ejecting every target for a fault that all share, such as a bad release. */
  @Test
  void ejectsNoMoreTargetsThanCap() {
    reportAll(0, 0);
    IntStream.range(0, TARGETS).forEach(number -> failAttempts("target-" + number, 5));

    assertThat(chosenTargets(300)).hasSize(TARGETS - 3);
  }

  @Test
  void choosesTargetThatReportedPrefix() {
    reportAll(0, 0);
    router.cacheReport("target-4", List.of(99L), List.of());

    assertThat(router.choose(query(99, Set.of()), NOW, random)).hasValue("target-4");
  }

  @Test
  void doesNotChooseFullTargetThatReportedPrefix() {
    reportAll(0, 0);
    router.cacheReport("target-4", List.of(99L), List.of());
    router.report(status("target-4", 50, 50_000, false), NOW);

    assertThat(router.choose(query(99, Set.of()), NOW, random)).get().isNotEqualTo("target-4");
  }

  @Test
  void doesNotChooseExcludedTargetEvenIfItIsTheOnlyOne() {
    router.report(status("target-0", 0, 0, false), NOW);

    assertThat(router.choose(query(0, Set.of("target-0")), NOW, random)).isEmpty();
  }

  @Test
  void doesNotChooseTargetThatNoLongerServesModel() {
    router.report(status("target-0", 0, 0, false), NOW);
    TargetStatus other =
        new TargetStatus("target-0", "zone", false, true, 0, 0, 10, 0, 1000, Set.of("other"), NOW);
    router.report(other, NOW);

    assertThat(router.choose(query(0, Set.of()), NOW, random)).isEmpty();
  }

  /**
   * Guards against work that is sent into a zone out of service, by the choice of random targets or
   * because a target there is likely to have the prefix cached.
   */
  @Test
  void doesNotChooseTargetsOfEvacuatedZoneUntilItIsRestored() {
    reportAll(0, 0);
    router.report(inZone("away", "target-0"), NOW);
    router.report(inZone("away", "target-1"), NOW);
    router.cacheReport("target-0", List.of(7L), List.of());
    router.setEvacuatedZones(Set.of("away", "unknown"));

    assertThat(chosenTargets(200)).hasSize(TARGETS - 2).doesNotContain("target-0", "target-1");
    assertThat(
            IntStream.range(0, 50)
                .mapToObj(number -> router.choose(query(7, Set.of()), NOW, random).orElseThrow()))
        .doesNotContain("target-0", "target-1");

    router.setEvacuatedZones(Set.of());
    assertThat(chosenTargets(200)).contains("target-0", "target-1");
  }

  @Test
  void choosesNoTargetWhileAllZonesAreEvacuated() {
    reportAll(0, 0);
    router.setEvacuatedZones(Set.of("zone"));

    assertThat(router.choose(query(0, Set.of()), NOW, random)).isEmpty();
    assertThat(router.estimatedStart("model", NOW)).isEmpty();
  }

  private static TargetStatus inZone(String zone, String target) {
    return new TargetStatus(target, zone, false, true, 0, 0, 10, 0, 1000, Set.of("model"), NOW);
  }

  private void reportAll(int queued, double queuedTokens) {
    IntStream.range(0, TARGETS)
        .forEach(
            number -> router.report(status("target-" + number, queued, queuedTokens, false), NOW));
  }

  private void failAttempts(String target, int times) {
    IntStream.range(0, times).forEach(number -> router.finished(target, 0, true, NOW, NOW));
  }

  private String chooseAndSend() {
    String target = router.choose(query(0, Set.of()), NOW, random).orElseThrow();
    router.sent(target, 100, NOW);
    return target;
  }

  private Set<String> chosenTargets(int times) {
    return chosenTargetsAt(times, NOW);
  }

  private Set<String> chosenTargetsAt(int times, Instant now) {
    return IntStream.range(0, times)
        .mapToObj(number -> router.choose(query(0, Set.of()), now, random).orElseThrow())
        .collect(Collectors.toSet());
  }

  private static RouteQuery query(long prefix, Set<String> excluded) {
    return new RouteQuery("model", "zone", prefix, 100, excluded);
  }

  private static TargetStatus status(
      String target, int queued, double queuedTokens, boolean leaving) {
    return new TargetStatus(
        target,
        "zone",
        leaving,
        true,
        queued,
        queued > 0 ? 10 : 0,
        10,
        queuedTokens,
        1000,
        Set.of("model"),
        NOW);
  }

  private static TargetStatus measuredAt(TargetStatus status, Instant measuredAt) {
    return new TargetStatus(
        status.target(),
        status.zone(),
        status.leaving(),
        status.reachable(),
        status.queued(),
        status.running(),
        status.limit(),
        status.queuedTokens(),
        status.tokensPerSecond(),
        status.served(),
        measuredAt);
  }
}
