package dev.ibishub.core.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

final class RetryAdviceTest {
  @Test
  void callersOfFullTargetsRetrySpreadOverHalfSecond() {
    assertThat(RetryAdvice.whenFull(0)).isEqualTo(250);
    assertThat(RetryAdvice.whenFull(0.999)).isBetween(700L, 750L);
  }

  // Guards against advice that is too short while a group of ranks is broken. Callers retry once;
  // told to do so within half a second, all were refused for good although the engines were back
  // three seconds later.
  @Test
  void callersOfClosedGroupRetryAsLateAsTheyWait() {
    assertThat(RetryAdvice.whileClosed(8_000, 0)).isBetween(1_500L, 1_700L);
    assertThat(RetryAdvice.whileClosed(8_000, 0.999)).isBetween(2_600L, 2_667L);
  }

  // Guards against advice that is too short while the store is unavailable. Two seconds after all
  // entries had been killed the store was missing for another half second; entries without a
  // configuration told callers to retry at once, and eight in ten were refused for good, as callers
  // retry once.
  @Test
  void callersOfProcessWaitingForStoreRetryAsLateAsTheyWait() {
    assertThat(RetryAdvice.whileStarting(1_500, OptionalLong.of(8_000), 0.5))
        .isBetween(2_000L, 2_200L);
    assertThat(RetryAdvice.whileStarting(300, OptionalLong.of(8_000), 0.5)).isEqualTo(500);
    assertThat(RetryAdvice.whileStarting(1_500, OptionalLong.empty(), 0)).isEqualTo(300);
  }

  @Test
  void callersWithLittleTimeAreNotToldToRetryAtOnce() {
    assertThat(RetryAdvice.whileClosed(300, 0.5)).isEqualTo(250);
  }

  @Test
  void callerRetriesWhenFirstBackOffEndsIfItWaitsThatLong() {
    assertThat(RetryAdvice.whileBackingOff(1_000, 9_000, 0)).isEqualTo(1_000);
    assertThat(RetryAdvice.whileBackingOff(1_000, 9_000, 0.5)).isBetween(1_001L, 1_500L);
    assertThat(RetryAdvice.whileBackingOff(60_000, 9_000, 0.99)).isLessThanOrEqualTo(3_000);
  }
}
