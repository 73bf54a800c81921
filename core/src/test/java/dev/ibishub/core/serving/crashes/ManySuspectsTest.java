package dev.ibishub.core.serving.crashes;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests decisions on evidence that many requests leave at few crashed targets. */
final class ManySuspectsTest {
  private static final String SERVICE = "s";
  private static final String GUILTY = "guilty";
  private static final int CRASH_MILLIS = 1_000;

  /** A decision takes milliseconds; this only tells that it ends. */
  private static final Duration ENDS_WITHIN = Duration.ofSeconds(5);

  private final RequestQuarantine quarantine = new RequestQuarantine();

  private static RequestTraits request(String name, List<String> parts) {
    return new RequestTraits(
        SERVICE, "w", RequestIdentity.of(name, "w", StandardCharsets.UTF_8.encode(name)), parts);
  }

  private CrashedRun run(int crash, int number, long sentAt, List<String> parts) {
    return new CrashedRun(
        request("r" + crash + "." + number, parts), "t" + crash, sentAt, brokenAt(crash));
  }

  private static long brokenAt(int crash) {
    return (long) crash * CRASH_MILLIS + 500;
  }

  private void crash(List<CrashedRun> runs) {
    runs.forEach(quarantine::onBroken);
    CrashedRun last = runs.get(runs.size() - 1);
    quarantine.onEnded(last.targetIncarnation(), last.brokenAt());
    answerOthers(last.brokenAt() + 100);
  }

  private void answerOthers(long now) {
    IntStream.range(0, CrashEvidence.ANSWERS_OF_OTHERS_IF_OVERLAPPING)
        .forEach(any -> quarantine.onAnswerBegun(SERVICE, request("o", List.of()).parts(), now));
  }

  private Set<String> decide(int crashes) {
    assertTimeoutPreemptively(ENDS_WITHIN, () -> quarantine.decide(brokenAt(crashes)));
    return quarantine.quarantines().stream()
        .flatMap(each -> each.traits().stream())
        .map(RequestTrait::id)
        .collect(Collectors.toSet());
  }

  // Guards against a decision that fails, and with it every request and the entry's ticks: two
  // parts came with the guilty one at all crashed targets but one, but never in one request.
  @Test
  void partIsQuarantinedWithCompanionsThatNeverCameTogether() {
    crash(List.of(run(0, 0, 200, List.of(GUILTY, "a"))));
    crash(List.of(run(1, 0, 1_200, List.of(GUILTY, "a")), run(1, 1, 1_200, List.of(GUILTY, "b"))));
    crash(List.of(run(2, 0, 2_200, List.of(GUILTY, "b"))));

    assertThat(decide(3)).contains(GUILTY);
  }

  // Guards against a decision that never ends, so that the entry stands still: each of three parts
  // missed another one of the guilty one's crashes, in requests that ran since before the first.
  @Test
  void partIsQuarantinedWithCompanionsThatEachMissedAnotherCrash() {
    List<List<String>> others =
        List.of(
            List.of(GUILTY, "b", "c"),
            List.of(GUILTY, "a", "c"),
            List.of(GUILTY, "a", "b"),
            List.of(GUILTY, "a", "b", "c"));
    IntStream.range(0, others.size())
        .forEach(
            number ->
                crash(
                    List.of(
                        run(number, 0, brokenAt(number) - 300, List.of(GUILTY)),
                        run(number, 1, 0, others.get(number)))));

    assertThat(decide(others.size())).contains(GUILTY);
  }

  // Guards against a decision that never ends, as a part that all requests with the guilty one
  // share was answered in between, and is suspected again.
  @Test
  void partIsQuarantinedWithCommonPartThatWasAnsweredBetween() {
    IntStream.range(0, 4)
        .forEach(
            number -> {
              if (number == 3) {
                quarantine.onAnswerBegun(
                    SERVICE, request("o", List.of("a")).parts(), brokenAt(2) + 200);
              }
              quarantine.onBroken(run(number, 0, brokenAt(number) - 300, List.of("a", GUILTY)));
              quarantine.onEnded("t" + number, brokenAt(number));
            });
    answerOthers(brokenAt(3) + 100);

    assertThat(decide(4)).contains(GUILTY);
  }

  // Guards against evidence of another shape on which a decision fails or doesn't end.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void decisionsOnDrawnEvidenceEnd(long seed) {
    Random random = new Random(seed);
    IntStream.range(0, 100).forEach(any -> playDrawnHistory(random));
  }

  private static void playDrawnHistory(Random random) {
    RequestQuarantine entry = new RequestQuarantine();
    RequestQuarantine other = new RequestQuarantine();
    List<String> parts = List.of("a", "b", "c", "d", "e", GUILTY);
    IntStream.range(0, 12)
        .forEach(
            number -> {
              RequestQuarantine heard = random.nextBoolean() ? entry : other;
              IntStream.range(0, 1 + random.nextInt(4))
                  .forEach(
                      index ->
                          heard.onBroken(
                              new CrashedRun(
                                  request("r" + number + "." + index, drawn(parts, random)),
                                  "t" + number,
                                  random.nextBoolean() ? 0 : brokenAt(number) - 300,
                                  brokenAt(number))));
              (random.nextBoolean() ? entry : other)
                  .onReport(heard.onCrashed("t" + number, brokenAt(number)));
              IntStream.range(0, random.nextInt(12))
                  .forEach(
                      any ->
                          entry.onAnswerBegun(
                              SERVICE,
                              request("o", drawn(parts.subList(0, 5), random)).parts(),
                              brokenAt(number) + 100));
              assertTimeoutPreemptively(
                  ENDS_WITHIN, () -> other.onReport(entry.decide(brokenAt(number) + 200)));
            });
  }

  private static List<String> drawn(List<String> parts, Random random) {
    return parts.stream().filter(any -> random.nextInt(3) == 0).toList();
  }
}
