package dev.ibishub.core.entries;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.entries.ReadSchedule.Action;
import org.junit.jupiter.api.Test;

final class ReadScheduleTest {
  private static final ReadTurns TURNS = ReadTurns.within(2_000, 6_000);
  private static final int ENTRIES = 6;
  private static final long CONFIRMED_AT = 10_000;
  private static final long DUE_AT = CONFIRMED_AT + TURNS.periodMillis();

  private final ReadSchedule schedule = new ReadSchedule(() -> TURNS);

  private Action next(long now, int turn) {
    return schedule.next(now, turn, ENTRIES).action();
  }

  private void rejectFirstRead() {
    schedule.onConfirmed(CONFIRMED_AT);
    next(DUE_AT, 0);
    schedule.onReadFailed(DUE_AT + 4, ENTRIES);
  }

  // Guards against a process without the settings that reads at other times than before them.
  @Test
  void turnsWithoutStatedTimeAreThoseOfFixedLength() {
    ReadTurns unstated = ReadTurns.within(10_000, 6_000);
    ReadTurns fixed = ReadTurns.fixed(50, 1_300, 1_000);

    for (int turn = 0; turn < 48; turn++) {
      assertThat(unstated.dueMillis(turn, 48)).isEqualTo(fixed.dueMillis(turn, 48));
    }
    assertThat(unstated.waitMillis()).isEqualTo(fixed.waitMillis());
    assertThat(unstated.backOffMillis(48)).isEqualTo(fixed.backOffMillis(48));
  }

  // Guards against a first reader that retries while another one holds a long poll in its place.
  @Test
  void rejectedReaderPassesItsTurnOnceAndWaitsForConfirmation() {
    rejectFirstRead();
    assertThat(next(DUE_AT + 4, 0)).isEqualTo(Action.PASS);
    schedule.onPassed();

    assertThat(next(DUE_AT + 1_000, 0)).isEqualTo(Action.NONE);
    assertThat(next(CONFIRMED_AT + TURNS.dueMillis(1, ENTRIES), 0)).isEqualTo(Action.READ);
  }

  // Guards against an entry without links that stops reading because it has nobody to pass to.
  @Test
  void rejectedReaderRetriesAtBackOffIfTurnCouldNotBeSent() {
    rejectFirstRead();
    assertThat(next(DUE_AT + 4, 0)).isEqualTo(Action.PASS);

    assertThat(next(DUE_AT + 249, 0)).isEqualTo(Action.NONE);
    assertThat(next(DUE_AT + 250, 0)).isEqualTo(Action.READ);
  }

  // Guards against a rejected call in each round, which is charged, while another entry reads.
  @Test
  void repeatedlyRejectedReaderPassesOnWithoutReading() {
    rejectFirstRead();
    next(DUE_AT + 4, 0);
    schedule.onConfirmed(DUE_AT + 100);

    assertThat(next(DUE_AT + 150, 0)).isEqualTo(Action.PASS);
  }

  @Test
  void receivedTurnIsReadWithTheWaitThatIsLeft() {
    schedule.onConfirmed(CONFIRMED_AT);

    assertThat(schedule.onTurnReceived(DUE_AT + 400, 600))
        .isEqualTo(new ReadSchedule.Decision(Action.READ, 600));
  }

  // Guards against a second read by a turn that was passed on before the last confirmation.
  @Test
  void turnOfEarlierRoundIsIgnored() {
    schedule.onConfirmed(CONFIRMED_AT);

    assertThat(schedule.onTurnReceived(CONFIRMED_AT + 10, 1_000).action()).isEqualTo(Action.NONE);
  }

  // Guards against a turn that ends at an entry whose own read gets no response.
  @Test
  void entryWithOverdueReadPassesReceivedTurnOn() {
    schedule.onConfirmed(CONFIRMED_AT);
    next(DUE_AT, 0);

    assertThat(schedule.onTurnReceived(DUE_AT + 1_200, 0).action()).isEqualTo(Action.NONE);
    assertThat(schedule.onTurnReceived(DUE_AT + 1_300, 0).action()).isEqualTo(Action.PASS);
  }
}
