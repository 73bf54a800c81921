package dev.ibishub.core.ranks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;

final class ExpertDemandTest {
  private final ExpertDemand demand = new ExpertDemand(1, 2, 400);

  @Test
  void countsOnlyTokensInWindow() {
    demand.onCounts(0, 1, new long[] {0, 0}, 0);
    demand.onCounts(0, 1, new long[] {1_000, 0}, 100);
    demand.onCounts(0, 1, new long[] {1_000, 5}, 600);
    demand.onCounts(0, 1, new long[] {1_000, 9}, 1_000);

    assertThat(demand.tokens()[0]).containsExactly(0, 4);
  }

  // Guards against phantom demand: the counters of a restarted rank begin at zero, and their
  // difference to the old values would be counted as tokens, so that the planner moves experts for
  // no reason.
  @Test
  void ignoresCounterResetOfRestartedRank() {
    demand.onCounts(0, 1, new long[] {500, 500}, 0);
    demand.onCounts(0, 1, new long[] {3, 0}, 100);
    demand.onCounts(0, 1, new long[] {5, 1}, 300);

    assertThat(demand.tokens()[0]).containsExactly(2, 1);
  }

  @Test
  void discardsSamplesOnNewEpoch() {
    demand.onCounts(0, 1, new long[] {0, 0}, 0);
    demand.onCounts(0, 1, new long[] {10, 0}, 300);
    demand.onCounts(0, 2, new long[] {90, 0}, 400);

    assertThat(demand.ranksKnown()).isZero();
    assertThat(demand.total()).isZero();
  }

  // Guards against demand that stands still: what a rank counted before its counts were no longer
  // read stayed part of the sum.
  @Test
  void discardsSamplesOfRanksThatAreNotRetained() {
    for (int rank = 0; rank < 2; rank++) {
      demand.onCounts(rank, 1, new long[] {0, 0}, 0);
      demand.onCounts(rank, 1, new long[] {10, rank}, 300);
    }
    demand.retainRanks(Set.of(1));

    assertThat(demand.ranksKnown()).isEqualTo(1);
    assertThat(demand.tokens()[0]).containsExactly(10, 1);
  }
}
