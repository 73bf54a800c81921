package dev.ibishub.core;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class GroupEpochTest {
  @Test
  void nextEpochIsHigherRegardlessOfTags() {
    long first = GroupEpoch.next(0, -1);
    long second = GroupEpoch.next(first, 1);

    assertThat(second).isGreaterThan(first);
  }

  @Test
  void processesWithSameHighestEpochGetDifferentEpochs() {
    assertThat(GroupEpoch.next(7, 1)).isNotEqualTo(GroupEpoch.next(7, 2));
  }
}
