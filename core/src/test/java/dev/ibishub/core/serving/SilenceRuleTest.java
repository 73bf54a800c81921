package dev.ibishub.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

final class SilenceRuleTest {
  private final StreamProgress others = new StreamProgress();

  private void piecesEach80Millis(long from, long to) {
    for (long now = from; now <= to; now += 80) {
      others.onPiece(now);
    }
  }

  // A caller sees nothing for two seconds and leaves, and so does the next one at the same target.
  // The target takes requests and never answers; its health is good and it looks idle.
  @Test
  void streamWithoutAFirstPieceIsLostWhileTheOthersMove() {
    piecesEach80Millis(0, 2_000);

    assertThat(SilenceRule.isLost(1_700, 1_000, false, false, others.movingSince(1_700))).isFalse();
    assertThat(SilenceRule.isLost(2_000, 1_000, false, false, others.movingSince(2_000))).isTrue();
  }

  @Test
  void streamThatMayStillWaitItsTurnIsNotLost() {
    piecesEach80Millis(0, 2_000);

    assertThat(SilenceRule.isLost(2_000, 0, false, true, others.movingSince(2_000))).isFalse();
  }

  @Test
  void streamThatStoppedInTheMiddleIsLostSooner() {
    piecesEach80Millis(0, 2_000);

    assertThat(SilenceRule.isLost(1_900, 1_100, true, true, others.movingSince(1_900))).isTrue();
  }

  // All streams of a group start over at other targets at once, twice the work for the same
  // answers. The group stood still for 1.5 s since one rank ended, and each stream looked lost by
  // itself.
  @Test
  void streamsOfAGroupThatStandsStillAreNotLost() {
    piecesEach80Millis(0, 1_000);

    assertThat(SilenceRule.isLost(2_400, 1_000, true, false, others.movingSince(2_400))).isFalse();
  }

  // The same a moment later: the group goes on, and the first stream whose piece comes made all
  // others look as if they alone had been left out.
  @Test
  void streamsOfAGroupThatGoesOnHaveTimeToMoveAgain() {
    piecesEach80Millis(0, 1_000);
    piecesEach80Millis(2_500, 3_300);

    assertThat(SilenceRule.isLost(2_600, 1_000, true, false, others.movingSince(2_600))).isFalse();
    assertThat(SilenceRule.isLost(3_300, 1_000, true, false, others.movingSince(3_300))).isTrue();
  }

  @Test
  void nothingMovesBeforeTheFirstPiece() {
    assertThat(others.movingSince(5_000)).isEqualTo(OptionalLong.empty());
  }
}
