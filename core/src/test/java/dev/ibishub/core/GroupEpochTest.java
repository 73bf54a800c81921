package dev.ibishub.core;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class GroupEpochTest {
  @Test
  void nextEpochIsHigherWhateverTheTagsAre() {
    long first = GroupEpoch.next(0, -1);
    long second = GroupEpoch.next(first, 1);

    assertThat(second).isGreaterThan(first);
  }

  @Test
  void twoProcessesThatStartFromTheSameEpochGetDifferentOnes() {
    assertThat(GroupEpoch.next(7, 1)).isNotEqualTo(GroupEpoch.next(7, 2));
  }
}
