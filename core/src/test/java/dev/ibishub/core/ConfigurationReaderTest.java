package dev.ibishub.core;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.ConfigurationEvent.Result;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

final class ConfigurationReaderTest {
  private static final Instant NOW = Instant.parse("2026-03-02T22:00:00Z");

  private final ConfigurationReader reader = reader();

  private static ConfigurationReader reader() {
    return ConfigurationReader.create(ConfigurationReader.Options.defaults());
  }

  private static ConfigurationChange change(String id, ConfigurationState on, String text) {
    return ConfigurationChange.of(id, on, "", text, id + "-author", NOW);
  }

  private static void applyAll(ConfigurationReader to, List<ConfigurationRecord> records) {
    LongStream.range(0, records.size())
        .forEach(offset -> to.apply(offset, NOW, Optional.of(records.get((int) offset))));
  }

  @Test
  void changeRecordsOnlyTheDifferingText() {
    String text = "x".repeat(100_000);
    ConfigurationState state = ConfigurationState.initial().with("", text + "1}", "a", "a", NOW);

    ConfigurationChange change = change("b", state, text + "2}");

    assertThat(change.text()).isEqualTo("2");
    assertThat(change.appliedTo(state.base())).isEqualTo(text + "2}");
  }

  /**
   * Two operators publish concurrently, each on top of revision 0. The change that is first on the
   * log is accepted at every reader. The other one is rejected, and its event names the accepted
   * change.
   */
  @Test
  void acceptsFirstOfConcurrentChangesAndRejectsSecond() {
    ConfigurationChange one = change("one", ConfigurationState.initial(), "{\"a\":1}");
    ConfigurationChange two = change("two", ConfigurationState.initial(), "{\"b\":2}");
    ConfigurationReader other = reader();

    applyAll(reader, List.of(one, two));
    applyAll(other, List.of(two, one));

    assertThat(reader.state().base()).isEqualTo("{\"a\":1}");
    assertThat(other.state().base()).isEqualTo("{\"b\":2}");
    ConfigurationEvent lost = reader.event("two").orElseThrow();
    assertThat(lost.result()).isEqualTo(Result.CONFLICT);
    assertThat(lost.detail()).contains("revision 1 by one-author").contains("one");
  }

  @Test
  void rejectsChangeThatDoesNotResultInItsHash() {
    ConfigurationChange good = change("good", ConfigurationState.initial(), "{\"a\":1}");
    ConfigurationChange bad =
        new ConfigurationChange("bad", "", 0, good.hash(), "x", NOW, 1, 1, "\"a\":2");

    applyAll(reader, List.of(bad, good));

    assertThat(reader.event("bad").orElseThrow().result()).isEqualTo(Result.CORRUPT);
    assertThat(reader.state().revision()).isEqualTo(1);
  }

  /**
   * Guards against the loss of an accepted change. The append of a snapshot of revision 1 is slow,
   * and revision 2 is accepted before it. A process that starts after retention has deleted both
   * changes reads that snapshot first; if it adopted it, revision 2 would be missing there.
   */
  @Test
  void ignoresSnapshotAppendedAfterLaterChange() {
    ConfigurationChange one = change("one", ConfigurationState.initial(), "{\"a\":1}");
    applyAll(reader, List.of(one));
    ConfigurationSnapshot slow = reader.snapshot("slow");
    ConfigurationChange two = change("two", reader.state(), "{\"a\":2}");
    reader.apply(1, NOW, Optional.of(two));
    reader.apply(2, NOW, Optional.of(slow));
    ConfigurationSnapshot good = reader.snapshot("good");
    reader.apply(3, NOW, Optional.of(good));

    ConfigurationReader fresh = reader();
    fresh.skipTo(2);
    fresh.apply(2, NOW, Optional.of(slow));
    assertThat(fresh.isKnown()).isFalse();
    fresh.apply(3, NOW, Optional.of(good));

    assertThat(fresh.state()).isEqualTo(reader.state());
    assertThat(fresh.isAnchored()).isTrue();
    assertThat(reader.divergences()).isZero();
  }

  /**
   * Guards against a change that is accepted at one reader only. A slow reader is at revision 1
   * when retention deletes the record of revision 2. The next change is based on revision 1, so all
   * other readers reject it; applied to the old state, it would be accepted here.
   */
  @Test
  void readerWithGapAppliesNoChangeUntilItGetsPeerState() {
    ConfigurationChange one = change("one", ConfigurationState.initial(), "{\"a\":1}");
    ConfigurationReader slow = reader();
    applyAll(slow, List.of(one));
    applyAll(reader, List.of(one, change("two", slow.state(), "{\"a\":2}")));
    ConfigurationChange late = change("late", slow.state(), "{\"a\":3}");
    reader.apply(2, NOW, Optional.of(late));

    slow.skipTo(2);
    slow.apply(2, NOW, Optional.of(late));

    assertThat(slow.state().revision()).isEqualTo(1);
    slow.adoptPeerState(reader.snapshot("transfer"));
    slow.rejoin(2);
    assertThat(slow.digest()).isEqualTo(reader.digest());
    assertThat(slow.isAnchored()).isTrue();
  }

  /** A process that starts during an outage of the log learns the state from its peers alone. */
  @Test
  void olderPeerSnapshotDoesNotReplaceNewerOne() {
    applyAll(reader, List.of(change("one", ConfigurationState.initial(), "{\"a\":1}")));
    ConfigurationSnapshot older = reader.snapshot("older");
    reader.apply(1, NOW, Optional.of(change("two", reader.state(), "{\"a\":2}")));
    ConfigurationSnapshot newer = reader.snapshot("newer");
    ConfigurationReader fresh = reader();
    assertThat(fresh.isKnown()).isFalse();

    fresh.adoptPeerState(newer);
    fresh.adoptPeerState(older);

    assertThat(fresh.isKnown()).isTrue();
    assertThat(fresh.state().revision()).isEqualTo(2);
  }

  @Test
  void ignoresPeerSnapshotWithWrongHash() {
    applyAll(reader, List.of(change("one", ConfigurationState.initial(), "{\"a\":1}")));
    ConfigurationState state = reader.state();
    ConfigurationState damaged =
        new ConfigurationState(
            1, "{\"a\":9}", state.overlays(), "one", "x", state.at(), state.hash());
    ConfigurationReader fresh = reader();

    fresh.adoptPeerState(new ConfigurationSnapshot("damaged", 1, damaged, List.of()));

    assertThat(fresh.isKnown()).isFalse();
  }

  @Test
  void skipsInvalidRecord() {
    reader.apply(0, NOW, Optional.empty());
    reader.apply(1, NOW, Optional.of(change("one", ConfigurationState.initial(), "{\"a\":1}")));

    assertThat(reader.state().revision()).isEqualTo(1);
  }

  @Test
  void secondCopyOfAcceptedRecordKeepsFirstEvent() {
    ConfigurationChange one = change("one", ConfigurationState.initial(), "{\"a\":1}");

    applyAll(reader, List.of(one, one));

    assertThat(reader.event("one").orElseThrow().result()).isEqualTo(Result.ACCEPTED);
    assertThat(reader.state().revision()).isEqualTo(1);
  }
}
