package dev.ibishub.core.ranks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

final class DemandNoteTest {
  private static final double[][] TOKENS = {{10, 0, 5}, {0, 0, 0}};

  @Test
  void proportionsOutliveTheProcess() {
    DemandNote read = DemandNote.parse(new DemandNote(7, TOKENS).toBytes()).orElseThrow();

    assertThat(read.notedAt()).isEqualTo(7);
    assertThat(read.tokens()[0]).containsExactly(255, 0, 128);
    assertThat(read.tokens()[1]).containsExactly(0, 0, 0);
  }

  @Test
  void bytesThatAreNoNoteAreNotTaken() {
    byte[] written = new DemandNote(7, TOKENS).toBytes();

    assertThat(DemandNote.parse(new byte[0])).isEmpty();
    assertThat(DemandNote.parse(Arrays.copyOf(written, written.length - 1))).isEmpty();
    assertThat(DemandNote.parse(Arrays.copyOf(written, written.length + 1))).isEmpty();
  }

  @Test
  void noteOfAnotherShapeDoesNotFit() {
    DemandNote note = new DemandNote(7, TOKENS);

    assertThat(note.fits(2, 3)).isTrue();
    assertThat(note.fits(2, 4)).isFalse();
    assertThat(note.fits(3, 3)).isFalse();
  }

  // A clock that jumped must not make an old note new: it counts only near the time of day.
  @Test
  void noteFromTheFutureIsAsOldAsOneFromThePast() {
    DemandNote note = new DemandNote(100_000, TOKENS);

    assertThat(note.isWithin(10_000, 105_000)).isTrue();
    assertThat(note.isWithin(10_000, 95_000)).isTrue();
    assertThat(note.isWithin(10_000, 111_000)).isFalse();
    assertThat(note.isWithin(10_000, 89_000)).isFalse();
  }
}
