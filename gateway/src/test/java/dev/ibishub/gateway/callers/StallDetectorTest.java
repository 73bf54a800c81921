package dev.ibishub.gateway.callers;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class StallDetectorTest {
  private final StallDetector detector = new StallDetector();

  // Guards against callers that read slowly and are taken for callers that read nothing.
  @Test
  void anyProgressRestartsTheTime() {
    assertThat(detector.isStalled(100, 0, 10)).isFalse();
    assertThat(detector.isStalled(99, 9, 10)).isFalse();
    assertThat(detector.isStalled(99, 18, 10)).isFalse();
    assertThat(detector.isStalled(99, 19, 10)).isTrue();
  }

  // Guards against connections without a response that count as stalled.
  @Test
  void nothingToReadIsNoStall() {
    assertThat(detector.isStalled(100, 0, 10)).isFalse();
    assertThat(detector.isStalled(0, 5, 10)).isFalse();
    assertThat(detector.isStalled(0, 50, 10)).isFalse();
    assertThat(detector.isStalled(100, 60, 10)).isFalse();
  }
}
