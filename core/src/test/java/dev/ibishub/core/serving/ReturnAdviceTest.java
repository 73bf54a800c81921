package dev.ibishub.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class ReturnAdviceTest {
  @Test
  void refusedCallersReturnSpreadOverHalfASecond() {
    assertThat(ReturnAdvice.whenFull(0)).isEqualTo(250);
    assertThat(ReturnAdvice.whenFull(0.999)).isBetween(700L, 750L);
  }

  // Every caller is refused for good although engines are back three seconds later. A group of
  // ranks
  // was broken, callers were told to come back within half a second, and they come back once.
  @Test
  void callersOfAClosedGroupReturnAsLateAsTheyWouldWait() {
    assertThat(ReturnAdvice.whileClosed(8_000, 0)).isBetween(1_500L, 1_700L);
    assertThat(ReturnAdvice.whileClosed(8_000, 0.999)).isBetween(2_600L, 2_667L);
  }

  @Test
  void callersWithLittleTimeAreNotToldToReturnAtOnce() {
    assertThat(ReturnAdvice.whileClosed(300, 0.5)).isEqualTo(250);
  }
}
