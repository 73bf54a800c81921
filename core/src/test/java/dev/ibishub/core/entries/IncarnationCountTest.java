package dev.ibishub.core.entries;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class IncarnationCountTest {
  private static final long WINDOW_MILLIS = 100;

  private final IncarnationCount incarnations = new IncarnationCount(WINDOW_MILLIS, 0);

  // Guards against an entry that is cut off from its start and takes the whole allowance.
  @Test
  void isUnknownWhileNoOtherEntryIsHeard() {
    assertThat(incarnations.get()).isZero();
    incarnations.onSeen(1, 1, 0);
    assertThat(incarnations.get()).isZero();
    incarnations.onSeen(2, 0, 1);
    assertThat(incarnations.get()).isEqualTo(3);
    incarnations.onSeen(1, 0, 2);
    assertThat(incarnations.get()).isZero();
  }

  // Guards against a part that grows when entries are killed, while what they spent still counts.
  @Test
  void keepsEntriesThatAreNoLongerSeen() {
    incarnations.onSeen(6, 0, 0);
    incarnations.onSeen(2, 0, 10 * WINDOW_MILLIS - 1);
    assertThat(incarnations.get()).isEqualTo(6);
    incarnations.onSeen(2, 0, 10 * WINDOW_MILLIS);
    assertThat(incarnations.get()).isEqualTo(2);
  }

  // Guards against an allowance that is granted again each time an entry restarts.
  @Test
  void countsPredecessorOfEntryThatRestartedForOneWindow() {
    incarnations.onSeen(6, 2, 0);
    incarnations.onSeen(6, 0, WINDOW_MILLIS - 1);
    assertThat(incarnations.get()).isEqualTo(8);
    incarnations.onSeen(6, 0, WINDOW_MILLIS);
    assertThat(incarnations.get()).isEqualTo(6);
  }

  // Guards against half a part for every entry in the first window of the whole system.
  @Test
  void countsNoPredecessorsAtFirstStart() {
    IncarnationCount first = new IncarnationCount(WINDOW_MILLIS, WINDOW_MILLIS);
    first.onSeen(6, 6, WINDOW_MILLIS - 1);
    assertThat(first.get()).isEqualTo(6);
    first.onSeen(6, 1, WINDOW_MILLIS);
    assertThat(first.get()).isEqualTo(7);
  }
}
