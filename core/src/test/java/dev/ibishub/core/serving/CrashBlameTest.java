package dev.ibishub.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class CrashBlameTest {
  private static final RequestIdentity GUILTY = identity("guilty");
  private static final RequestIdentity INNOCENT = identity("innocent");

  private final CrashBlame blame = new CrashBlame();

  private static RequestIdentity identity(String body) {
    return RequestIdentity.of("/stream/x", "w", body.getBytes(StandardCharsets.UTF_8));
  }

  private void crash(RequestIdentity request, String life, long sentAt, long brokenAt) {
    blame.onBroken(new CrashedRun(request, life, sentAt, brokenAt));
    blame.onCrashed(life);
  }

  @Test
  void sameRequestOfAnotherCallerIsAnother() {
    assertThat(identity("a")).isEqualTo(identity("a")).isNotEqualTo(identity("b"));
    assertThat(RequestIdentity.of("/a", "b", new byte[0]))
        .isNotEqualTo(RequestIdentity.of("/a/b", "", new byte[0]));
  }

  // Guards against a request that crashes one target after the other and is sent on for ever.
  @Test
  void secondCrashInARowQuarantines() {
    crash(GUILTY, "a", 0, 10);
    assertThat(blame.isQuarantined(GUILTY, 20)).isFalse();

    crash(GUILTY, "b", 20, 30);
    assertThat(blame.isQuarantined(GUILTY, 40)).isTrue();
  }

  @Test
  void brokenConnectionToATargetThatLivesIsNoCrash() {
    blame.onBroken(new CrashedRun(GUILTY, "a", 0, 10));
    blame.onBroken(new CrashedRun(GUILTY, "b", 20, 30));

    assertThat(blame.crashes(GUILTY)).isZero();
  }

  // Guards against innocent requests that are refused because many targets lost power at once.
  @Test
  void targetsThatFallTogetherCountOnce() {
    crash(INNOCENT, "a", 0, 1_000);
    crash(INNOCENT, "b", 500, 1_001);
    crash(INNOCENT, "c", 600, 1_002);

    assertThat(blame.crashes(INNOCENT)).isEqualTo(1);
    assertThat(blame.isQuarantined(INNOCENT, 2_000)).isFalse();
  }

  // Guards against a quarantine that holds at one entry only: the others date the first crash later
  // than it was, as the message that told them of it was slow.
  @Test
  void crashThatWasToldLateComesBeforeTheNextRunAllTheSame() {
    blame.onTold(new CrashedRun(GUILTY, "a", 90, 110));
    blame.onTold(new CrashedRun(GUILTY, "b", 60, 115));

    assertThat(blame.crashes(GUILTY)).isEqualTo(2);
  }

  @Test
  void requestThatIsAnsweredIsCleared() {
    crash(INNOCENT, "a", 0, 10);

    assertThat(blame.onCompleted(INNOCENT)).isTrue();
    crash(INNOCENT, "b", 20, 30);
    assertThat(blame.isQuarantined(INNOCENT, 40)).isFalse();
  }

  @Test
  void crashThatShowsBeforeTheBrokenRunCountsToo() {
    blame.onCrashed("a");

    assertThat(blame.onBroken(new CrashedRun(GUILTY, "a", 0, 10))).hasSize(1);
    assertThat(blame.crashes(GUILTY)).isEqualTo(1);
  }

  @Test
  void crashThatTwoEntriesTellCountsOnce() {
    crash(GUILTY, "a", 0, 10);

    assertThat(blame.onTold(new CrashedRun(GUILTY, "a", 1, 11))).isFalse();
    assertThat(blame.onTold(new CrashedRun(GUILTY, "b", 20, 30))).isTrue();
    assertThat(blame.isQuarantined(GUILTY, 40)).isTrue();
  }

  // Guards against a caller whose request is refused for good after two crashes it did not cause,
  // and against one that crashes a target each time that it is tried again.
  @Test
  void quarantineEndsAndGrowsWithEachFurtherCrash() {
    crash(GUILTY, "a", 0, 10);
    crash(GUILTY, "b", 20, 30);
    long free = 30 + CrashBlame.QUARANTINE_MILLIS;
    assertThat(blame.isQuarantined(GUILTY, free - 1)).isTrue();
    assertThat(blame.isQuarantined(GUILTY, free)).isFalse();

    crash(GUILTY, "c", free, free + 10);
    assertThat(blame.isQuarantined(GUILTY, free + 2 * CrashBlame.QUARANTINE_MILLIS)).isTrue();
  }

  // Guards against memory that grows with each request that broke off.
  @Test
  void whatIsKeptIsBounded() {
    IntStream.range(0, 2 * CrashBlame.MOST_KEPT)
        .forEach(number -> crash(identity("body " + number), "life " + number, number, number + 1));

    assertThat(blame.all()).hasSize(CrashBlame.MOST_KEPT);
  }
}
