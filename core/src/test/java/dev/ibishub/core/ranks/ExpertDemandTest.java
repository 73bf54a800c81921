package dev.ibishub.core.ranks;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class ExpertDemandTest {
  private final ExpertDemand demand = new ExpertDemand(1, 2, 400);

  @Test
  void onlyTheWindowCounts() {
    demand.onCounts(0, 1, new long[] {0, 0}, 0);
    demand.onCounts(0, 1, new long[] {1_000, 0}, 100);
    demand.onCounts(0, 1, new long[] {1_000, 5}, 600);
    demand.onCounts(0, 1, new long[] {1_000, 9}, 1_000);

    assertThat(demand.tokens()[0]).containsExactly(0, 4);
  }

  // The planner moves experts for a demand that there never was. A rank started again and its
  // counts began at zero; the difference to the old ones was taken for tokens.
  @Test
  void restartOfARankIsNoDemand() {
    demand.onCounts(0, 1, new long[] {500, 500}, 0);
    demand.onCounts(0, 1, new long[] {3, 0}, 100);
    demand.onCounts(0, 1, new long[] {5, 1}, 300);

    assertThat(demand.tokens()[0]).containsExactly(2, 1);
  }

  @Test
  void newEpochBeginsAnew() {
    demand.onCounts(0, 1, new long[] {0, 0}, 0);
    demand.onCounts(0, 1, new long[] {10, 0}, 300);
    demand.onCounts(0, 2, new long[] {90, 0}, 400);

    assertThat(demand.ranksKnown()).isZero();
    assertThat(demand.total()).isZero();
  }
}
