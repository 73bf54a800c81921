package dev.ibishub.core.entries;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class SlidingMaximumTest {
  private final SlidingMaximum seen = new SlidingMaximum(100);

  @Test
  void returnsZeroIfNothingWasSeen() {
    assertThat(seen.largest()).isZero();
  }

  @Test
  void returnsLargerNumberUntilItLeavesWindow() {
    seen.onSeen(7, 0);
    seen.onSeen(4, 50);
    seen.onSeen(5, 99);
    assertThat(seen.largest()).isEqualTo(7);

    seen.onSeen(3, 100);
    assertThat(seen.largest()).isEqualTo(5);
    seen.onSeen(9, 120);
    assertThat(seen.largest()).isEqualTo(9);
  }
}
