package dev.ibishub.core.entries;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class RememberedEntriesTest {
  private static final long SETTLED = RememberedEntries.SETTLING_MILLIS;

  private final RememberedEntries entries = new RememberedEntries("own", 0);

  // Guards against a limit that is divided among the entries heard now: an entry that is only cut
  // off goes on with its share.
  @Test
  void silentEntryKeepsItsShareForLongTime() {
    entries.onHeard(Set.of("own", "a", "b"), 0);
    entries.onHeard(Set.of("own"), RememberedEntries.RETENTION_MILLIS);
    assertThat(entries.participants(RememberedEntries.RETENTION_MILLIS))
        .containsExactlyInAnyOrder("own", "a", "b");

    entries.onHeard(Set.of("own"), RememberedEntries.RETENTION_MILLIS + 1);
    assertThat(entries.participants(RememberedEntries.RETENTION_MILLIS + 1)).containsExactly("own");
  }

  // Guards against entries that all give themselves the whole limit after a loss of power.
  @Test
  void startingEntryTakesNoPartUntilOthersHaveHeardOfIt() {
    assertThat(entries.participants(0)).isEmpty();
    entries.onHeard(Set.of("a"), 300);
    assertThat(entries.participants(300 + SETTLED - 1)).isEmpty();
    assertThat(entries.participants(300 + SETTLED)).containsExactlyInAnyOrder("own", "a");
  }

  // Guards against a solitary entry that divides a limit only with those that it hears.
  @Test
  void entryThatHearsNoOtherSharesWithThoseThatAreNamed() {
    entries.onNamed(List.of("seed"), 0);
    entries.onHeard(Set.of("own"), 100);
    long settled = RememberedEntries.SOLITARY_SETTLING_MILLIS;
    assertThat(entries.participants(settled - 1)).isEmpty();
    assertThat(entries.participants(settled)).containsExactlyInAnyOrder("own", "seed");
  }
}
