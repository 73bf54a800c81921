package dev.ibishub.gateway.records;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.runtime.MonotonicClock;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

final class RecordFollowerTest {
  private static final FollowerOptions OPTIONS = new FollowerOptions("topic", 500, 250, 0);

  private final FakeKeyedLog log = new FakeKeyedLog();
  private final Map<String, String> known = new TreeMap<>();
  private final List<RecordBatch> passedOn = new ArrayList<>();
  private final RecordFollower follower = follower(known, passedOn);

  private RecordFollower follower(Map<String, String> into, List<RecordBatch> batches) {
    return new RecordFollower(OPTIONS, log, change -> apply(change.record(), into), batches::add);
  }

  private static void apply(KeyedRecord record, Map<String, String> into) {
    if (record.value().isEmpty()) {
      into.remove(record.key());
      return;
    }
    into.put(record.key(), new String(record.value().get(), StandardCharsets.UTF_8));
  }

  /** Lets the follower look at the log as if its period were over. */
  private void read() {
    follower.tick(MonotonicClock.millis() + 10_000, 0);
  }

  @Test
  void newestRecordOfEachKeyIsKnown() {
    log.put("a", "1");
    log.put("b", "1");
    read();
    log.put("a", "2");
    log.drop("b");
    read();

    assertThat(known).containsExactly(Map.entry("a", "2"));
  }

  // A key that was taken away works again. The store dropped its history, the entry read the newest
  // records anew, and got an answer from some seconds before. Cause: taking any answer for newer.
  @Test
  void answerFromBeforeWhatIsKnownChangesNothing() {
    log.put("configuration", "1");
    log.put("configuration", "2");
    read();
    log.forgetHistory();
    log.put("other", "1");
    log.answerAsOf(1);
    read();
    read();

    assertThat(known).containsEntry("configuration", "2");
  }

  // Requests go to a target that is gone. Its entry was dropped while the history was lost, so no
  // record of it was ever read.
  @Test
  void keyThatIsMissingAfterHistoryWasLostIsDropped() {
    log.put("a", "1");
    log.put("b", "1");
    read();
    log.drop("a");
    log.put("b", "2");
    log.forgetHistory();
    read();
    read();

    assertThat(known).containsExactly(Map.entry("b", "2"));
  }

  // One entry serves with old keys. The store turned that machine away and served the others; none
  // of them told it. Cause: every entry relying on its own reads.
  @Test
  void entryThatTheStoreTurnsAwayLearnsFromTheOthers() {
    Map<String, String> others = new TreeMap<>();
    RecordFollower turnedAway = follower(others, new ArrayList<>());
    log.put("a", "1");
    read();
    turnedAway.onHeard(follower.snapshot().orElseThrow(), MonotonicClock.millis());
    log.put("a", "2");
    read();
    turnedAway.onHeard(passedOn.get(passedOn.size() - 1), MonotonicClock.millis());

    assertThat(others).containsExactly(Map.entry("a", "2"));
  }

  @Test
  void batchThatLeavesAGapIsNotTaken() {
    log.put("a", "1");
    read();
    follower.onHeard(
        new RecordBatch(5, 6, false, List.of(new KeyedRecord(5, "z", bytes("1")))),
        MonotonicClock.millis());

    assertThat(known).doesNotContainKey("z");
  }

  @Test
  void entryThatHearsInTimeMakesNoCall() {
    log.put("a", "1");
    read();
    int before = log.calls();
    follower.tick(MonotonicClock.millis() + 400, 0);
    follower.tick(MonotonicClock.millis() + 600, 1);

    assertThat(log.calls()).isEqualTo(before);
  }

  @Test
  void outageKeepsWhatIsKnown() {
    log.put("a", "1");
    read();
    log.setDown(true);
    read();

    assertThat(known).containsEntry("a", "1");
  }

  private static Optional<byte[]> bytes(String text) {
    return Optional.of(text.getBytes(StandardCharsets.UTF_8));
  }

  // An entry of a large fleet serves by an old configuration for as many seconds as there are
  // entries before it. Its links to those that read had broken, and its own turn to read was last.
  @Test
  void lastOfManyEntriesReadsSoonAfterTheFirstFew() {
    log.put("a", "1");
    long before = MonotonicClock.millis();
    read();
    long after = MonotonicClock.millis();
    log.put("a", "2");
    long allOfTheFirst = OPTIONS.periodMillis() + RecordFollower.FIRST_TURNS * OPTIONS.turnMillis();

    follower.tick(before + allOfTheFirst, 41);
    assertThat(known).containsEntry("a", "1");

    follower.tick(after + allOfTheFirst + OPTIONS.turnMillis(), 41);
    assertThat(known).containsEntry("a", "2");
  }

  private static boolean sameText(KeyedRecord before, KeyedRecord after) {
    return Arrays.equals(before.value().orElseThrow(), after.value().orElseThrow());
  }

  // Guards against control traffic that grows with time: each target writes once a second that it
  // lives.
  @Test
  void recordsThatOnlyRenewAreNotPassedOn() {
    RecordFollower reader =
        new RecordFollower(OPTIONS, log, change -> {}, passedOn::add, RecordFollowerTest::sameText);
    log.put("a", "1");
    reader.tick(MonotonicClock.millis() + 10_000, 0);
    log.put("a", "1");
    log.put("b", "1");
    log.put("a", "1");
    reader.tick(MonotonicClock.millis() + 20_000, 0);
    log.drop("a");
    log.put("a", "1");
    reader.tick(MonotonicClock.millis() + 30_000, 0);

    assertThat(passedOn)
        .extracting(batch -> batch.records().stream().map(KeyedRecord::key).toList())
        .containsExactly(List.of("a"), List.of("b"), List.of("a", "a"));
    assertThat(passedOn).extracting(RecordBatch::end).containsExactly(1L, 4L, 6L);
  }
}
