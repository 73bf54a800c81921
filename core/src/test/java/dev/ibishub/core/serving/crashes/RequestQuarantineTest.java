package dev.ibishub.core.serving.crashes;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class RequestQuarantineTest {
  private static final RequestIdentity GUILTY = identity("guilty");
  private static final RequestIdentity INNOCENT = identity("innocent");

  private final RequestQuarantine quarantine = new RequestQuarantine();

  private static RequestIdentity identity(String body) {
    return RequestIdentity.of("/stream/x", "w", StandardCharsets.UTF_8.encode(body));
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
    quarantine.onEnded(incarnation, brokenAt);
  }

  @Test
  void identityDependsOnBodyAndSeparatesPathFromCaller() {
    assertThat(identity("a")).isEqualTo(identity("a")).isNotEqualTo(identity("b"));
    assertThat(RequestIdentity.of("/a", "b", ByteBuffer.allocate(0)))
        .isNotEqualTo(RequestIdentity.of("/a/b", "", ByteBuffer.allocate(0)));
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
    quarantine.onEnded("a", 5);

    assertThat(quarantine.onBroken(run(GUILTY, "a", 0, 10)).runs()).hasSize(1);
    assertThat(quarantine.crashes(GUILTY)).isEqualTo(1);
  }

  // Guards against crashes counted without end, and told to all entries, as a target that is taken
  // for ended is alive and callers leave it.
  @Test
  void runThatIsSentAfterItsTargetEndedIsNoCrash() {
    quarantine.onCrashed("a", 1_000);
    quarantine.onBroken(run(INNOCENT, "a", 2_000, 3_000));

    assertThat(quarantine.crashes(INNOCENT)).isZero();
  }

  @Test
  void runThatIsSentAfterItsTargetWasFoundEndedIsNoCrash() {
    quarantine.onEnded("a", 1_000);
    quarantine.onBroken(run(INNOCENT, "a", 2_000, 3_000));

    assertThat(quarantine.crashes(INNOCENT)).isZero();
  }

  @Test
  void crashOfTargetThatWasTakenForEndedCounts() {
    quarantine.onEnded("a", 1_000);
    quarantine.onBroken(run(GUILTY, "a", 2_000, 3_000));
    quarantine.onCrashed("a", 3_000);
    quarantine.onBroken(run(GUILTY, "a", 2_500, 3_000));

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

  private static RequestTraits withParts(String workspace, String body, String... parts) {
    return new RequestTraits("s", workspace, identity(body), List.of(parts));
  }

  /** Crashes a target under one request, after sound ones were answered. */
  private void crashUnder(int number, RequestTraits request) {
    long at = 1_000L * number;
    quarantine.onBroken(new CrashedRun(request, "t" + number, at, at + 100));
    quarantine.onCrashed("t" + number, at + 100);
    answerOthers(at + 300);
    quarantine.decide(at + 400);
  }

  private void answerOthers(long at) {
    IntStream.range(0, CrashEvidence.ANSWERS_OF_OTHERS)
        .forEach(any -> quarantine.onAnswerBegun("s", Set.of(), at));
  }

  private void answer(long at, String part) {
    quarantine.onAnswerBegun("s", Set.of(RequestTrait.ofPart("s", part)), at);
  }

  private SendPermission permission(RequestTraits request, long now) {
    return quarantine.permission(request, false, now);
  }

  // Guards against a part that crashes targets in requests of which no two are alike.
  @Test
  void partIsQuarantinedAfterThreeSuccessiveCrashesWithoutAnswer() {
    crashUnder(1, withParts("w", "1", "first", "bad"));
    answer(1_500, "first");
    crashUnder(2, withParts("w", "2", "first", "bad"));
    assertThat(permission(withParts("w", "x", "bad"), 5_000)).isEqualTo(SendPermission.ALLOWED);
    answer(2_500, "first");
    crashUnder(3, withParts("w", "3", "other", "bad"));

    assertThat(permission(withParts("w", "4", "new", "bad"), 5_000))
        .isEqualTo(SendPermission.QUARANTINED);
    assertThat(permission(withParts("w", "5", "first"), 5_000)).isEqualTo(SendPermission.ALLOWED);
  }

  // Guards against a quarantine of a part that crashes targets only sometimes or by chance.
  @Test
  void answerEndsCountOfCrashes() {
    crashUnder(1, withParts("w", "1", "part"));
    crashUnder(2, withParts("w", "2", "part"));
    answer(2_600, "part");
    crashUnder(3, withParts("w", "3", "part"));

    assertThat(permission(withParts("w", "4", "part"), 5_000)).isEqualTo(SendPermission.ALLOWED);
  }

  // Guards against an entry that judges all suspects with each request, as long as each answer may
  // still decide on one of them.
  @Test
  void answersAreJudgedTogether() {
    IntStream.rangeClosed(1, 3)
        .forEach(
            number -> {
              long at = 1_000L * number;
              quarantine.onBroken(
                  new CrashedRun(withParts("w", "" + number, "part"), "t" + number, at, at + 100));
              quarantine.onCrashed("t" + number, at + 100);
            });
    quarantine.decide(3_300);
    answerOthers(3_301);

    assertThat(quarantine.decide(3_399).quarantines()).isEmpty();
    assertThat(quarantine.decide(3_400).quarantines()).hasSize(1);
  }

  // Guards against a quarantine of whatever is sent while a whole service answers nothing.
  @Test
  void noPartIsQuarantinedWhileNothingIsAnswered() {
    IntStream.rangeClosed(1, 6)
        .forEach(
            number -> {
              long at = 1_000L * number;
              quarantine.onBroken(
                  new CrashedRun(withParts("w", "" + number, "part"), "t" + number, at, at + 100));
              quarantine.onCrashed("t" + number, at + 100);
              quarantine.decide(at + 500);
            });

    assertThat(quarantine.quarantines()).isEmpty();
  }

  // Guards against sound requests refused because a part of theirs always came with a guilty one.
  @Test
  void partsThatCameTogetherAreQuarantinedTogetherUntilOneIsAnswered() {
    IntStream.rangeClosed(1, 3)
        .forEach(number -> crashUnder(number, withParts("w", "" + number, "first", "bad")));

    assertThat(permission(withParts("w", "4", "first", "bad"), 5_000))
        .isEqualTo(SendPermission.QUARANTINED);
    assertThat(permission(withParts("w", "5", "first"), 5_000)).isEqualTo(SendPermission.ALLOWED);

    answer(5_100, "first");
    assertThat(permission(withParts("w", "6", "bad"), 5_200)).isEqualTo(SendPermission.QUARANTINED);
  }

  // Guards against several targets that end at once under requests with one suspected part.
  @Test
  void oneRequestWithSuspectedPartIsSentAtTimeAndNotRepeated() {
    crashUnder(1, withParts("w", "1", "part"));
    RequestTraits next = withParts("w", "2", "part");

    assertThat(quarantine.onSent(next, 2_000).probes()).hasSize(1);
    assertThat(permission(withParts("w", "3", "part"), 2_001)).isEqualTo(SendPermission.HELD);
    assertThat(quarantine.mayRepeat(next)).isFalse();

    answer(2_300, "part");
    assertThat(permission(withParts("w", "3", "part"), 2_301)).isEqualTo(SendPermission.ALLOWED);
    assertThat(quarantine.mayRepeat(next)).isTrue();
  }

  // Guards against a caller who names parts of another workspace in requests that crash targets.
  @Test
  void quarantineCoversOtherWorkspacesOnlyOnceTheyCrashTargets() {
    IntStream.rangeClosed(1, 3)
        .forEach(number -> crashUnder(number, withParts("w", "" + number, "part")));

    assertThat(permission(withParts("w", "4", "part"), 5_000))
        .isEqualTo(SendPermission.QUARANTINED);
    assertThat(permission(withParts("v", "5", "part"), 5_000)).isEqualTo(SendPermission.ALLOWED);

    crashUnder(6, withParts("v", "6", "part"));
    assertThat(permission(withParts("u", "7", "part"), 7_000))
        .isEqualTo(SendPermission.QUARANTINED);
  }

  // Guards against a quarantine that ends at one entry only.
  @Test
  void answeredTrialEndsQuarantineEverywhere() {
    RequestQuarantine other = new RequestQuarantine();
    IntStream.rangeClosed(1, 3)
        .forEach(number -> crashUnder(number, withParts("w", "" + number, "part")));
    other.onReport(quarantine.all());
    RequestTraits request = withParts("w", "4", "part");
    long trialAt = 3_100 + RequestQuarantine.FIRST_TRIAL_MILLIS;
    assertThat(other.permission(request, false, trialAt)).isEqualTo(SendPermission.QUARANTINED);
    assertThat(quarantine.permission(request, true, trialAt)).isEqualTo(SendPermission.ALLOWED);

    other.onReport(quarantine.onSent(request, trialAt));
    assertThat(other.permission(request, true, trialAt + 1))
        .as("beside the trial")
        .isEqualTo(SendPermission.QUARANTINED);
    other.onReport(
        quarantine.onAnswerBegun("s", Set.of(RequestTrait.ofPart("s", "part")), trialAt + 300));

    assertThat(other.permission(request, false, trialAt + 301)).isEqualTo(SendPermission.ALLOWED);
    assertThat(permission(request, trialAt + 301)).isEqualTo(SendPermission.ALLOWED);
  }

  // Guards against innocent parts that stay suspected at an entry that missed their answers.
  @Test
  void reportOfPartThatWasAnsweredSinceIsContradicted() {
    answer(2_000, "part");
    CrashedRun run = new CrashedRun(withParts("w", "1", "part"), "t", 1_900, 2_100);

    assertThat(quarantine.contradictions(report(run)).cleared())
        .extracting(CrashFindings.Clearing::trait)
        .containsExactly(RequestTrait.ofPart("s", "part"));
  }

  // Guards against suspicions that go round for ever, as a report that arrives late brings them
  // back
  // where they were cleared.
  @Test
  void clearedSuspicionIsNotBroughtBackByLateReport() {
    crash(INNOCENT, "a", 0, 10);
    CrashedRun withPart = new CrashedRun(withParts("w", "1", "part"), "b", 20, 30);
    quarantine.onReport(report(withPart));
    quarantine.onCompleted(INNOCENT, 40);
    answer(40, "part");

    assertThat(quarantine.onReport(report(run(INNOCENT, "a", 60, 70))).isEmpty()).isTrue();
    CrashedRun late = new CrashedRun(withPart.request(), "b", 60, 70);
    assertThat(quarantine.onReport(report(late)).isEmpty()).isTrue();
    assertThat(quarantine.mayRepeat(withPart.request())).isTrue();
  }

  // Guards against a request that is quarantined again at all entries by one that missed its
  // answer.
  @Test
  void reportOfRequestThatWasCompletedSinceIsContradicted() {
    crash(INNOCENT, "a", 0, 10);
    crash(INNOCENT, "b", 20, 30);
    CrashFindings before = quarantine.all();
    quarantine.onCompleted(INNOCENT, 40);

    assertThat(quarantine.contradictions(before).cleared())
        .extracting(CrashFindings.Clearing::trait)
        .containsExactly(RequestTrait.ofRequest(INNOCENT));
    assertThat(quarantine.onReport(before).isEmpty()).isTrue();
    assertThat(isQuarantined(INNOCENT, 50)).isFalse();
  }
}
