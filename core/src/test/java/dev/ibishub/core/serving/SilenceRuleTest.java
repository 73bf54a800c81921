package dev.ibishub.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

final class SilenceRuleTest {
  private final StreamProgress progress = new StreamProgress();

  private void addPiecesEvery80Millis(long from, long to) {
    for (long now = from; now <= to; now += 80) {
      progress.onPiece(now);
    }
  }

  // Guards against a target that accepts requests and never answers while its health checks pass
  // and it looks idle: each caller sees nothing for two seconds and leaves.
  @Test
  void streamWithoutFirstPieceIsLostWhileOthersProgress() {
    addPiecesEvery80Millis(0, 2_000);

    assertThat(SilenceRule.isLost(1_700, 1_000, false, false, progress.progressingSince(1_700)))
        .isFalse();
    assertThat(SilenceRule.isLost(2_000, 1_000, false, false, progress.progressingSince(2_000)))
        .isTrue();
  }

  @Test
  void streamThatMayStillBeQueuedIsNotLost() {
    addPiecesEvery80Millis(0, 2_000);

    assertThat(SilenceRule.isLost(2_000, 0, false, true, progress.progressingSince(2_000)))
        .isFalse();
  }

  @Test
  void streamThatStoppedAfterFirstPieceIsLostSooner() {
    addPiecesEvery80Millis(0, 2_000);

    assertThat(SilenceRule.isLost(1_900, 1_100, true, true, progress.progressingSince(1_900)))
        .isTrue();
  }

  // Guards against moving all streams of a group to other targets at once, which doubles the work.
  // The group stalled for 1.5 s because one rank had ended, and each stream by itself looked lost.
  @Test
  void streamsOfStalledGroupAreNotLost() {
    addPiecesEvery80Millis(0, 1_000);

    assertThat(SilenceRule.isLost(2_400, 1_000, true, false, progress.progressingSince(2_400)))
        .isFalse();
  }

  // Guards against the same when the stall ends: after the first piece of one stream, all others
  // looked lost because they were silent while that one progressed.
  @Test
  void streamsAreNotLostRightAfterStallEnds() {
    addPiecesEvery80Millis(0, 1_000);
    addPiecesEvery80Millis(2_500, 3_300);

    assertThat(SilenceRule.isLost(2_600, 1_000, true, false, progress.progressingSince(2_600)))
        .isFalse();
    assertThat(SilenceRule.isLost(3_300, 1_000, true, false, progress.progressingSince(3_300)))
        .isTrue();
  }

  @Test
  void noStreamProgressesBeforeFirstPiece() {
    assertThat(progress.progressingSince(5_000)).isEqualTo(OptionalLong.empty());
  }
}
