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
   * Time to first token jumps every second: all entries send everything to the one target that
   * looked idle in the last report, until the next report shows it full and another one idle.
   */
  @Test
  void staleReportDoesNotDrawAllWorkToOneTarget() {
    reportAll(50, 5000);
    router.report(status("target-0", 0, 0, false), NOW);

    long toIdle =
        IntStream.range(0, 200)
            .mapToObj(number -> chooseAndSend())
            .filter("target-0"::equals)
            .count();

    assertThat(toIdle).isLessThan(100);
  }

  /** A request is refused in the middle of the nightly upgrade, since its target was leaving. */
  @Test
  void leavingTargetIsNotChosen() {
    reportAll(0, 0);
    router.report(status("target-0", 0, 0, true), NOW);

    assertThat(chosen(100)).doesNotContain("target-0");
  }

  /** A late report of a leaving target, measured before it left, must not bring work back. */
  @Test
  void olderReportDoesNotUndoLeaving() {
    reportAll(0, 0);
    router.report(status("target-0", 0, 0, true), NOW);
    TargetStatus older = status("target-0", 0, 0, false);
    router.report(at(older, NOW.minusSeconds(1)), NOW);

    assertThat(chosen(100)).doesNotContain("target-0");
  }

  /**
   * Every tenth request waits and fails although nine targets are well: the tenth is dead, its last
   * report says that it is idle, and no failure counts against it.
   */
  @Test
  void targetThatFailsIsEjectedAndComesBack() {
    reportAll(0, 0);
    fail("target-0", 5);

    assertThat(chosen(100)).doesNotContain("target-0");
    Instant later = NOW.plusSeconds(30);
    assertThat(chosenAt(200, later)).contains("target-0");
  }

  /**
   * Nobody gets an answer although only one release is bad: every target failed a few requests of
   * it, all were ejected, and no target was left.
   */
  @Test
  void noMoreThanTheCapIsEjected() {
    reportAll(0, 0);
    IntStream.range(0, TARGETS).forEach(number -> fail("target-" + number, 5));

    assertThat(chosen(300)).hasSize(TARGETS - 3);
  }

  @Test
  void dataOfPrefixDrawsRequestsToItsHolder() {
    reportAll(0, 0);
    router.cacheReport("target-4", List.of(99L), List.of());

    assertThat(router.choose(query(99, Set.of()), NOW, random)).hasValue("target-4");
  }

  @Test
  void holderThatIsFullLosesItsPrefix() {
    reportAll(0, 0);
    router.cacheReport("target-4", List.of(99L), List.of());
    router.report(status("target-4", 50, 50_000, false), NOW);

    assertThat(router.choose(query(99, Set.of()), NOW, random)).get().isNotEqualTo("target-4");
  }

  @Test
  void excludedTargetIsNotChosenEvenAsTheOnlyOne() {
    router.report(status("target-0", 0, 0, false), NOW);

    assertThat(router.choose(query(0, Set.of("target-0")), NOW, random)).isEmpty();
  }

  @Test
  void targetThatNoLongerServesIsNotChosen() {
    router.report(status("target-0", 0, 0, false), NOW);
    TargetStatus other =
        new TargetStatus("target-0", "zone", false, true, 0, 0, 10, 0, 1000, Set.of("other"), NOW);
    router.report(other, NOW);

    assertThat(router.choose(query(0, Set.of()), NOW, random)).isEmpty();
  }

  private void reportAll(int queued, double queuedTokens) {
    IntStream.range(0, TARGETS)
        .forEach(
            number -> router.report(status("target-" + number, queued, queuedTokens, false), NOW));
  }

  private void fail(String target, int times) {
    IntStream.range(0, times).forEach(number -> router.finished(target, 0, true, NOW, NOW));
  }

  private String chooseAndSend() {
    String target = router.choose(query(0, Set.of()), NOW, random).orElseThrow();
    router.sent(target, 100, NOW);
    return target;
  }

  private Set<String> chosen(int times) {
    return chosenAt(times, NOW);
  }

  private Set<String> chosenAt(int times, Instant now) {
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

  private static TargetStatus at(TargetStatus status, Instant measuredAt) {
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
