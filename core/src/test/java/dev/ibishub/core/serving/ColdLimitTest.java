package dev.ibishub.core.serving;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ColdLimitTest {
  // Guards against a divided rate that leaves no room for a second group of entries.
  @ParameterizedTest
  @CsvSource({
    "14, 1.5, 5, 26, 13",
    "4, 1.5, 5, 11, 4",
    "0.5, 1.5, 5, 5, 0.5",
    "14, 1, 0, 14, 7",
    "1, 1, 0, 1, 1",
    "0.5, 1, 0, 0, 0"
  })
  void dividedRateIsToleratedAndFitsIntoBoundTwice(
      double perSecond, double overrun, double slack, double maximum, double divided) {
    ColdLimit limit = new ColdLimit(perSecond, overrun, slack);
    assertThat(limit.maximumInAnySecond()).isEqualTo(maximum);
    assertThat(limit.dividedRequestsPerSecond()).isEqualTo(divided);
  }

  @Test
  void rejectsRangesThatNoTargetStates() {
    assertThatThrownBy(() -> new ColdLimit(0, 1, 0)).isInstanceOf(IllegalArgumentException.class);
    assertThatThrownBy(() -> new ColdLimit(1, 0.9, 0)).isInstanceOf(IllegalArgumentException.class);
    assertThatThrownBy(() -> new ColdLimit(1, 1, -1)).isInstanceOf(IllegalArgumentException.class);
  }
}
