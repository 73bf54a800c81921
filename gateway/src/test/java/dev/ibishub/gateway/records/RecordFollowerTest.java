package dev.ibishub.gateway.records;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.entries.LogPosition;
import dev.ibishub.core.entries.ReadTurns;
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
  private static final ReadTurns TURNS = ReadTurns.fixed(500, 250, 0);
  private static final FollowerOptions OPTIONS =
      new FollowerOptions("topic", () -> TURNS, RecordRevisions.NONE, 5_000);

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

  /** Makes the follower read the log as if its period were over. */
  private void read() {
    follower.tick(MonotonicClock.millis() + 10_000, 0, 42);
  }

  @Test
  void knowsNewestRecordOfEachKeyAfterRead() {
    log.put("a", "1");
    log.put("b", "1");
    read();
    log.put("a", "2");
    log.delete("b");
    read();

    assertThat(known).containsExactly(Map.entry("a", "2"));
  }

  // Guards against a revoked key that becomes valid again. After the store had lost its history,
  // the entry read a snapshot that was some seconds stale and replaced newer records with it.
  @Test
  void staleSnapshotIsIgnored() {
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

  // Guards against requests to a target that no longer exists. Its record was deleted in a part of
  // the history that the store no longer retained, so the follower never read the tombstone.
  @Test
  void keyMissingFromSnapshotAfterLostHistoryIsDeleted() {
    log.put("a", "1");
    log.put("b", "1");
    read();
    log.delete("a");
    log.put("b", "2");
    log.forgetHistory();
    read();
    read();

    assertThat(known).containsExactly(Map.entry("b", "2"));
  }

  // Guards against an entry that goes on with revoked keys because the store rejects its reads. The
  // store served the other entries, but none of them passed on what they read.
  @Test
  void entryRejectedByStoreGetsRecordsFromPeers() {
    Map<String, String> knownToRejected = new TreeMap<>();
    RecordFollower rejected = follower(knownToRejected, new ArrayList<>());
    log.put("a", "1");
    read();
    rejected.onPeerBatch(follower.snapshot().orElseThrow(), "peer", MonotonicClock.millis());
    log.put("a", "2");
    read();
    rejected.onPeerBatch(passedOn.get(passedOn.size() - 1), "peer", MonotonicClock.millis());

    assertThat(knownToRejected).containsExactly(Map.entry("a", "2"));
  }

  @Test
  void peerBatchThatLeavesGapIsIgnored() {
    log.put("a", "1");
    read();
    follower.onPeerBatch(
        new RecordBatch(
            5, position(6), false, List.of(new KeyedRecord(position(5), "z", bytes("1")))),
        "peer",
        MonotonicClock.millis());

    assertThat(known).doesNotContainKey("z");
  }

  @Test
  void makesNoCallWithinPeriodAndStagger() {
    log.put("a", "1");
    read();
    int before = log.calls();
    follower.tick(MonotonicClock.millis() + 400, 0, 42);
    follower.tick(MonotonicClock.millis() + 600, 1, 42);

    assertThat(log.calls()).isEqualTo(before);
  }

  @Test
  void knownRecordsSurviveStoreOutage() {
    log.put("a", "1");
    read();
    log.setDown(true);
    read();

    assertThat(known).containsEntry("a", "1");
  }

  // Guards against a record that is never applied, such as the evacuation of a zone. The key had
  // been
  // missing from a snapshot, and the first record after it was written under the same key.
  @Test
  void firstRecordAfterSnapshotAppliesToKeyThatWasMissingFromIt() {
    log.put("a", "1");
    log.put("b", "1");
    read();
    log.delete("a");
    log.forgetHistory();
    read();
    read();
    assertThat(known).doesNotContainKey("a");
    log.put("a", "2");
    read();

    assertThat(known).containsEntry("a", "2");
  }

  private static LogPosition position(long offset) {
    return new LogPosition(FakeKeyedLog.EPOCH, offset);
  }

  private static Optional<byte[]> bytes(String text) {
    return Optional.of(text.getBytes(StandardCharsets.UTF_8));
  }

  // Guards against an old configuration staying in force at the last entry of a large fleet, for as
  // many seconds as there are entries before it. Its links to the entries that read had broken, and
  // its own turn to read came last.
  @Test
  void lastEntryOfLargeFleetReadsSoonAfterFirstFew() {
    log.put("a", "1");
    long before = MonotonicClock.millis();
    read();
    long after = MonotonicClock.millis();
    log.put("a", "2");
    long fullStaggerMillis =
        TURNS.periodMillis() + ReadTurns.FULL_STAGGER_ENTRIES * TURNS.staggerMillis();

    follower.tick(before + fullStaggerMillis, 41, 42);
    assertThat(known).containsEntry("a", "1");

    follower.tick(after + fullStaggerMillis + TURNS.staggerMillis(), 41, 42);
    assertThat(known).containsEntry("a", "2");
  }

  private static boolean sameText(KeyedRecord before, KeyedRecord after) {
    return Arrays.equals(before.value().orElseThrow(), after.value().orElseThrow());
  }

  // Guards against control traffic that grows with time: each target writes a heartbeat per second.
  @Test
  void unchangedHeartbeatsAreNotPassedOn() {
    RecordFollower reader =
        new RecordFollower(OPTIONS, log, change -> {}, passedOn::add, RecordFollowerTest::sameText);
    log.put("a", "1");
    reader.tick(MonotonicClock.millis() + 10_000, 0, 42);
    log.put("a", "1");
    log.put("b", "1");
    log.put("a", "1");
    reader.tick(MonotonicClock.millis() + 20_000, 0, 42);
    log.delete("a");
    log.put("a", "1");
    reader.tick(MonotonicClock.millis() + 30_000, 0, 42);

    assertThat(passedOn)
        .extracting(batch -> batch.records().stream().map(KeyedRecord::key).toList())
        .containsExactly(List.of("a"), List.of("b"), List.of("a", "a"));
    assertThat(passedOn).extracting(batch -> batch.end().offset()).containsExactly(1L, 4L, 6L);
  }

  // Guards against a configuration that is late because the store rejects the first reader: its
  // turn passed only after a time.
  @Test
  void rejectedEntryPassesTurnAtOnceAndNextOneReads() {
    List<PassedTurn> turns = new ArrayList<>();
    RecordFollower rejected =
        new RecordFollower(
            OPTIONS, log, change -> {}, batch -> {}, (before, after) -> false, turns::add);
    log.put("a", "1");
    read();
    log.put("a", "2");
    log.setDown(true);
    rejected.tick(MonotonicClock.millis(), 0, 2);
    log.setDown(false);
    assertThat(turns).hasSize(1);

    follower.onTurnReceived(turns.get(0), MonotonicClock.millis() + TURNS.periodMillis());
    assertThat(known).containsExactly(Map.entry("a", "2"));
  }

  private static RecordBatch tombstone(long offset) {
    return new RecordBatch(
        offset,
        position(offset + 1),
        false,
        List.of(new KeyedRecord(position(offset), "target-" + offset, Optional.empty())));
  }

  // Guards against live targets that are given up at once after an outage of the store: their
  // records expired during it, but only the first batch after it counted as read over the gap.
  @Test
  void laterBatchesSoonAfterOutageCountAsReadOverTheGapToo() {
    List<Long> outages = new ArrayList<>();
    RecordFollower entry =
        new RecordFollower(OPTIONS, log, change -> outages.add(change.outageMillis()), batch -> {});
    long now = MonotonicClock.millis();
    entry.onPeerBatch(new RecordBatch(0, position(0), true, List.of()), "peer", now);

    entry.onPeerBatch(tombstone(0), "peer", now + 10_000);
    entry.onPeerBatch(tombstone(1), "peer", now + 10_500);
    entry.onPeerBatch(tombstone(2), "peer", now + 11_500);
    entry.onPeerBatch(tombstone(3), "peer", now + 12_500);

    assertThat(outages).containsExactly(10_000L, 10_000L, 10_000L, 1_000L);
  }

  // Guards against two threads that wait for each other: one that applies records and tells a
  // listener with a lock of its own, and one that asks the follower with that lock.
  @Test
  void listenerIsToldOutsideOfLock() {
    List<Boolean> toldUnderLock = new ArrayList<>();
    RecordFollower[] told = new RecordFollower[1];
    told[0] =
        new RecordFollower(
            OPTIONS, log, change -> toldUnderLock.add(Thread.holdsLock(told[0])), batch -> {});
    log.put("a", "1");
    told[0].tick(MonotonicClock.millis() + 10_000, 0, 42);

    assertThat(toldUnderLock).containsExactly(false);
  }
}
