package dev.ibishub.core.serving.crashes;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class RequestQuarantineTest {
  private static final RequestIdentity GUILTY = identity("guilty");
  private static final RequestIdentity INNOCENT = identity("innocent");

  private final RequestQuarantine quarantine = new RequestQuarantine();

  private static RequestIdentity identity(String body) {
    return RequestIdentity.of("/stream/x", "w", body.getBytes(StandardCharsets.UTF_8));
  }

  private static RequestTraits traits(RequestIdentity request) {
    return new RequestTraits("s", "w", request, List.of());
  }

  private static CrashedRun run(
      RequestIdentity request, String incarnation, long sentAt, long brokenAt) {
    return new CrashedRun(traits(request), incarnation, sentAt, brokenAt);
  }

  private static CrashFindings report(CrashedRun run) {
    return CrashFindings.of(List.of(run), List.of(), List.of());
  }

  private boolean isQuarantined(RequestIdentity request, long now) {
    return quarantine.permission(traits(request), true, now) == SendPermission.QUARANTINED;
  }

  private void crash(RequestIdentity request, String incarnation, long sentAt, long brokenAt) {
    quarantine.onBroken(run(request, incarnation, sentAt, brokenAt));
    quarantine.onCrashed(incarnation);
  }

  @Test
  void identityDependsOnBodyAndSeparatesPathFromCaller() {
    assertThat(identity("a")).isEqualTo(identity("a")).isNotEqualTo(identity("b"));
    assertThat(RequestIdentity.of("/a", "b", new byte[0]))
        .isNotEqualTo(RequestIdentity.of("/a/b", "", new byte[0]));
  }

  // Guards against a request that crashes one target after another and is sent on forever.
  @Test
  void secondSuccessiveCrashQuarantinesRequest() {
    crash(GUILTY, "a", 0, 10);
    assertThat(isQuarantined(GUILTY, 20)).isFalse();

    crash(GUILTY, "b", 20, 30);
    assertThat(isQuarantined(GUILTY, 40)).isTrue();
  }

  @Test
  void brokenRunOnLiveTargetDoesNotCountAsCrash() {
    quarantine.onBroken(run(GUILTY, "a", 0, 10));
    quarantine.onBroken(run(GUILTY, "b", 20, 30));

    assertThat(quarantine.crashes(GUILTY)).isZero();
  }

  // Guards against quarantines of innocent requests after many targets have lost power at once.
  @Test
  void simultaneousCrashesCountOnce() {
    crash(INNOCENT, "a", 0, 1_000);
    crash(INNOCENT, "b", 500, 1_001);
    crash(INNOCENT, "c", 600, 1_002);

    assertThat(quarantine.crashes(INNOCENT)).isEqualTo(1);
    assertThat(isQuarantined(INNOCENT, 2_000)).isFalse();
  }

  // Guards against a quarantine that takes effect at one entry only. The other entries date the
  // first crash too late by the transit time of its report, so that the runs seem to overlap.
  @Test
  void runThatOverlapsWithinToleranceCountsAsSuccessive() {
    quarantine.onReport(report(run(GUILTY, "a", 90, 110)));
    quarantine.onReport(report(run(GUILTY, "b", 60, 115)));

    assertThat(quarantine.crashes(GUILTY)).isEqualTo(2);
  }

  @Test
  void answeredRequestIsCleared() {
    crash(INNOCENT, "a", 0, 10);

    assertThat(quarantine.onCompleted(INNOCENT, 15).cleared()).hasSize(1);
    crash(INNOCENT, "b", 20, 30);
    assertThat(isQuarantined(INNOCENT, 40)).isFalse();
  }

  @Test
  void crashKnownBeforeBrokenRunCounts() {
    quarantine.onCrashed("a");

    assertThat(quarantine.onBroken(run(GUILTY, "a", 0, 10)).runs()).hasSize(1);
    assertThat(quarantine.crashes(GUILTY)).isEqualTo(1);
  }

  @Test
  void crashReportedByTwoEntriesCountsOnce() {
    crash(GUILTY, "a", 0, 10);

    assertThat(quarantine.onReport(report(run(GUILTY, "a", 1, 11))).isEmpty()).isTrue();
    assertThat(quarantine.onReport(report(run(GUILTY, "b", 20, 30))).isEmpty()).isFalse();
    assertThat(isQuarantined(GUILTY, 40)).isTrue();
  }

  // Guards against a request that is refused forever after two crashes that it did not cause, and
  // against one that crashes a target each time its quarantine ends.
  @Test
  void quarantineEndsAndIsLongerAfterFurtherCrash() {
    crash(GUILTY, "a", 0, 10);
    crash(GUILTY, "b", 20, 30);
    long endsAt = 30 + RequestQuarantine.FIRST_TRIAL_MILLIS;
    assertThat(isQuarantined(GUILTY, endsAt - 1)).isTrue();
    assertThat(isQuarantined(GUILTY, endsAt)).isFalse();
    assertThat(quarantine.permission(traits(GUILTY), false, endsAt))
        .as("at an entry that makes no trials")
        .isEqualTo(SendPermission.QUARANTINED);

    quarantine.onSent(traits(GUILTY), endsAt);
    assertThat(isQuarantined(GUILTY, endsAt)).as("beside the trial").isTrue();
    crash(GUILTY, "c", endsAt, endsAt + 10);
    assertThat(isQuarantined(GUILTY, endsAt + 2 * RequestQuarantine.FIRST_TRIAL_MILLIS)).isTrue();
  }

  // Guards against memory use that grows with each broken run.
  @Test
  void numberOfSuspectsIsBounded() {
    IntStream.range(0, 2 * CrashEvidence.MAXIMUM_KEPT)
        .forEach(number -> crash(identity("body " + number), "life " + number, number, number + 1));

    assertThat(quarantine.all().runs()).hasSize(CrashEvidence.MAXIMUM_KEPT);
  }
}
