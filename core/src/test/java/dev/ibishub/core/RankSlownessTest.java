package dev.ibishub.core;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RankSlownessTest {
  @Test
  void stragglerIsRatedSlow() {
    double[] slowness = RankSlowness.of(new double[] {10, 10, 10, 10}, new double[] {5, 5, 10, 5});

    assertThat(slowness).containsExactly(1, 1, 2, 1);
  }

  /**
   * Guards against a feedback loop: a rank with few tokens still takes the fixed part of a step, so
   * measured per token it looks slow, loses further experts, and the group becomes slower with
   * every plan.
   */
  @Test
  void rankWithFewTokensIsNotRatedSlow() {
    double[] loads = {4, 8, 12, 16};
    double[] stepMillis = {4 + 0.4, 4 + 0.8, 4 + 1.2, 4 + 1.6};

    assertThat(RankSlowness.of(loads, stepMillis)).containsExactly(1, 1, 1, 1);
  }

  @Test
  void rankWithoutMeasurementIsRatedNormal() {
    assertThat(RankSlowness.of(new double[] {1, 1, 1}, new double[] {5, 0, 5}))
        .containsExactly(1, 1, 1);
  }
}
