package dev.ibishub.gateway.records;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.ibishub.core.entries.LogPosition;
import dev.ibishub.core.entries.ReadTurns;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.ToLongFunction;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests copies of a log that changes while its records are listed page by page. */
final class ListedRecordsTest {
  private static final ReadTurns TURNS = ReadTurns.fixed(500, 250, 0);
  private static final List<String> KEYS = List.of("a", "b", "c", "d", "e", "f");
  private static final int SEEDS = 400;

  private long now = 1_000_000;
  private final FollowerOptions options =
      new FollowerOptions("topic", () -> TURNS, RecordRevisions.NONE, 5_000, () -> now);
  private final FakeKeyedLog log = new FakeKeyedLog();
  private final List<RecordBatch> passedOn = new ArrayList<>();
  private final Copy copy = new Copy(passedOn);

  /** What an entry knows of the log. */
  private final class Copy {
    private final Map<String, String> known = new TreeMap<>();
    private final RecordFollower follower;

    Copy(List<RecordBatch> batches) {
      follower = new RecordFollower(options, log, change -> apply(change.record()), batches::add);
    }

    private void apply(KeyedRecord record) {
      record
          .value()
          .ifPresentOrElse(
              value -> known.put(record.key(), text(value)), () -> known.remove(record.key()));
    }

    /** Makes the follower read the log as if its period were over. */
    void read() {
      now += 10_000;
      follower.tick(now, 0, 3);
    }
  }

  private static String text(byte[] value) {
    return new String(value, StandardCharsets.UTF_8);
  }

  private Map<String, String> stored() {
    Map<String, String> values = new TreeMap<>();
    log.newest().forEach((key, record) -> values.put(key, text(record.value().orElseThrow())));
    return values;
  }

  private void changeBetweenPages(Runnable change) {
    log.setBetweenPages(
        () -> {
          log.setBetweenPages(() -> {});
          change.run();
        });
  }

  private void putAll() {
    KEYS.forEach(key -> log.put(key, "1"));
  }

  // Guards against requests to a target until it ends, as its record was deleted after its page of
  // the list had been read and before the last page.
  @Test
  void deletionInListedRangeIsNoticed() {
    putAll();
    changeBetweenPages(() -> log.delete("a"));

    copy.read();

    assertThat(copy.known).isEqualTo(stored()).doesNotContainKey("a");
  }

  // Guards against a target that gets no request for as long as it lives, as its record was written
  // into a range of the list that had been read.
  @Test
  void recordThatIsAddedToListedRangeIsNoticed() {
    putAll();
    changeBetweenPages(() -> log.put("aa", "1"));

    copy.read();

    assertThat(copy.known).isEqualTo(stored()).containsKey("aa");
  }

  // Guards against deleting a target that a list has although its record is later than the list's
  // end, as an earlier state of the log lacks it.
  @Test
  void recordBeyondEndOfListIsNotDeletedByEarlierState() {
    copy.follower.onPeerBatch(snapshot(5, record("a", 2), record("z", 8)), "peer", now);

    copy.follower.onPeerBatch(snapshot(6, record("a", 2)), "peer", now);
    assertThat(copy.known).containsOnlyKeys("a", "z");

    copy.follower.onPeerBatch(snapshot(9, record("a", 2)), "peer", now);
    assertThat(copy.known).containsOnlyKeys("a");
  }

  private static RecordBatch snapshot(long end, KeyedRecord... records) {
    return new RecordBatch(0, new LogPosition(1, end), true, List.of(records));
  }

  private static KeyedRecord record(String key, long offset) {
    return new KeyedRecord(
        new LogPosition(1, offset), key, Optional.of("1".getBytes(StandardCharsets.UTF_8)));
  }

  // Guards against requests to a target that has left, as an entry that listed the log without it
  // gets an earlier batch late.
  @Test
  void earlierBatchOfOtherEntryBringsNothingBack() {
    putAll();
    copy.read();
    log.put("g", "1");
    Copy later = new Copy(new ArrayList<>());
    copy.read();
    log.delete("g");
    later.read();
    passedOn.forEach(batch -> later.follower.onPeerBatch(batch, "copy", now));

    assertThat(later.known).isEqualTo(stored()).doesNotContainKey("g");
  }

  // Guards against an entry that goes on with the list of another one and never learns what changed
  // while that was made.
  @Test
  void otherEntryGetsWhatChangedWhileListWasRead() {
    Copy other = new Copy(new ArrayList<>());
    putAll();
    changeBetweenPages(
        () -> {
          log.delete("a");
          log.put("aa", "1");
          log.put("b", "2");
        });

    copy.read();
    passedOn.forEach(batch -> other.follower.onPeerBatch(batch, "copy", now));

    assertThat(other.known).isEqualTo(stored());
  }

  // Guards against an entry that started at the same time, listed a later state, and takes over the
  // earlier one from another entry.
  @Test
  void earlierListOfOtherEntryBringsNothingBack() {
    Copy later = new Copy(new ArrayList<>());
    putAll();
    changeBetweenPages(
        () -> {
          log.delete("a");
          later.read();
        });

    copy.read();
    passedOn.forEach(batch -> later.follower.onPeerBatch(batch, "copy", now));

    assertThat(later.known).isEqualTo(stored()).doesNotContainKey("a");
  }

  // Guards against an entry that passes its next turn on, as it takes its list for stale because
  // another entry's list overtook it.
  @Test
  void listThatWasOvertakenIsNoFailure() {
    Copy other = new Copy(new ArrayList<>());
    putAll();
    changeBetweenPages(
        () -> {
          log.delete("a");
          other.read();
          copy.follower.onPeerBatch(other.follower.snapshot().orElseThrow(), "other", now);
        });
    copy.read();
    assertThat(copy.known).isEqualTo(stored());

    log.put("b", "2");
    copy.read();
    assertThat(copy.known).isEqualTo(stored());
  }

  // Guards against calls for nothing: each of them is charged for.
  @Test
  void listOfUnchangedLogCostsItsPagesOnly() {
    putAll();

    copy.read();

    assertThat(log.calls()).isEqualTo(KEYS.size() / 2);
  }

  @Test
  void changedLogCostsOneMoreRead() {
    putAll();
    changeBetweenPages(() -> log.delete("a"));

    copy.read();

    assertThat(log.calls()).isEqualTo(KEYS.size() / 2 + 1);
  }

  // Guards against an entry that lists its topic without end, as the log forgets its history faster
  // than the pages are read.
  @Test
  void listWhoseRestIsLostIsReadAgainInNextPeriodOnly() {
    putAll();
    log.setBetweenPages(
        () -> {
          log.put("a", Integer.toString(log.calls()));
          log.forgetHistory();
        });
    copy.read();
    int calls = log.calls();
    now += TURNS.periodMillis() / 2;
    copy.follower.tick(now, 0, 3);
    assertThat(log.calls()).isEqualTo(calls);

    log.setBetweenPages(() -> {});
    copy.read();
    assertThat(copy.known).isEqualTo(stored());
  }

  /** A log that can only be listed. */
  private record ListOnly(UnaryOperator<String> nextKey, ToLongFunction<String> epoch)
      implements KeyedLog {
    @Override
    public CompletableFuture<RecordPage> newestPage(String topic, String after) {
      LogPosition end = new LogPosition(epoch.applyAsLong(after), 5);
      return CompletableFuture.completedFuture(
          new RecordPage(List.of(record(nextKey.apply(after), 1)), end, true));
    }

    @Override
    public CompletableFuture<RecordBatch> read(String topic, long from, long waitMillis) {
      throw new UnsupportedOperationException("no reads expected");
    }

    @Override
    public CompletableFuture<Long> append(String topic, String key, byte[] value) {
      throw new UnsupportedOperationException("no appends expected");
    }
  }

  private static void assertNotListed(KeyedLog listed, String reason) {
    assertThatThrownBy(() -> ListedRecords.read(listed, "topic").join())
        .hasCauseInstanceOf(IOException.class)
        .hasMessageContaining(reason);
  }

  // Guards against serving with a part of the records, as a list that goes on counts as whole.
  @Test
  void listWithoutEndIsNotTakenForWhole() {
    assertNotListed(
        new ListOnly(after -> after + "a", after -> 1),
        "goes on after " + ListedRecords.MAXIMUM_PAGES + " pages");
  }

  // Guards against asking for the same page again and again.
  @Test
  void listThatDoesNotAdvanceIsNotTakenForWhole() {
    assertNotListed(new ListOnly(after -> "a", after -> 1), "has no next key");
  }

  // Guards against a copy of two states of a log that came back from an older copy meanwhile.
  @Test
  void pagesOfTwoEpochsAreNoList() {
    assertNotListed(
        new ListOnly(after -> after + "a", after -> after.isEmpty() ? 1 : 2),
        "came back from an older copy");
  }

  // Guards against copies that differ from the log, whatever is written between two pages, by two
  // entries that start at the same time and get the other one's batches late.
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 5})
  void copiesEqualLogAfterChangesBetweenPages(int pageRecords) {
    LongStream.rangeClosed(1, SEEDS)
        .forEach(
            seed -> {
              ListedRecordsTest run = new ListedRecordsTest();
              run.log.setPageRecords(pageRecords);
              run.play(new Random(seed), "seed " + seed);
            });
  }

  private void play(Random random, String seed) {
    List<RecordBatch> ofOther = new ArrayList<>();
    Copy other = new Copy(ofOther);
    writeSome(random);
    log.setBetweenPages(() -> writeSome(random));
    IntStream.range(0, 6)
        .forEach(
            step -> {
              if (random.nextInt(4) == 0) {
                log.forgetHistory();
              }
              (random.nextBoolean() ? copy : other).read();
              List<RecordBatch> late = random.nextBoolean() ? passedOn : ofOther;
              Copy receiver = late == passedOn ? other : copy;
              late.forEach(batch -> receiver.follower.onPeerBatch(batch, "peer", now));
              late.clear();
            });
    log.setBetweenPages(() -> {});
    copy.read();
    other.read();

    assertThat(copy.known).as(seed).isEqualTo(stored());
    assertThat(other.known).as(seed).isEqualTo(stored());
  }

  private void writeSome(Random random) {
    IntStream.range(0, random.nextInt(4))
        .forEach(
            any -> {
              String key = KEYS.get(random.nextInt(KEYS.size()));
              if (random.nextInt(3) == 0) {
                log.delete(key);
              } else {
                log.put(key, Integer.toString(random.nextInt(100)));
              }
            });
  }
}
