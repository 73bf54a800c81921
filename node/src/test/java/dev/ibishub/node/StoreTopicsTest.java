package dev.ibishub.node;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.core.entries.LogPosition;
import dev.ibishub.core.entries.ReadTurns;
import dev.ibishub.core.serving.TargetLoad;
import dev.ibishub.gateway.front.TargetDirectory;
import dev.ibishub.gateway.records.KeyedLog;
import dev.ibishub.gateway.records.KeyedRecord;
import dev.ibishub.gateway.records.RecordBatch;
import dev.ibishub.gateway.records.RecordMessages;
import dev.ibishub.gateway.records.RecordPage;
import dev.ibishub.platform.StoreClient;
import dev.ibishub.runtime.MonotonicClock;
import dev.ibishub.wire.generated.Frame;
import dev.ibishub.wire.generated.Record;
import dev.ibishub.wire.generated.RecordProgress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Tests which records of targets the entries pass on to each other, and with which age. */
final class StoreTopicsTest {
  private final List<KeyedRecord> written = new ArrayList<>();
  private final List<KeyedRecord> entries = new ArrayList<>();
  private final List<String> entryHosts = new ArrayList<>();
  private final List<Frame> broadcasts = new ArrayList<>();
  private final Member reader = new Member(new WrittenRecords());
  private long time = MonotonicClock.millis();

  /** A store with the records written so far. */
  private final class WrittenRecords implements KeyedLog {
    @Override
    public CompletableFuture<RecordPage> newestPage(String topic, String after) {
      return read(topic, 0, 0)
          .thenApply(batch -> new RecordPage(batch.records(), batch.end(), false));
    }

    @Override
    public CompletableFuture<RecordBatch> read(String topic, long from, long waitMillis) {
      List<KeyedRecord> all =
          topic.equals(StoreClient.TARGETS_TOPIC)
              ? written
              : topic.equals(StoreClient.ENTRIES_TOPIC) ? entries : List.of();
      List<KeyedRecord> records = all.subList((int) from, all.size());
      return CompletableFuture.completedFuture(
          new RecordBatch(from, new LogPosition(1, from + records.size()), false, records));
    }

    @Override
    public CompletableFuture<Long> append(String topic, String key, byte[] value) {
      return CompletableFuture.completedFuture(1L);
    }
  }

  /** An entry's copies of the topics. */
  private final class Member {
    private final TargetDirectory targets = new TargetDirectory("zone-a");
    private final StoreTopics topics;

    Member(KeyedLog store) {
      topics =
          new StoreTopics(
              store,
              new CurrentConfiguration(),
              new CurrentEvacuations(targets),
              targets,
              () -> ReadTurns.fixed(500, 250, 0),
              new StoreTopics.Listener(broadcasts::add, entryHosts::add, turn -> false),
              MonotonicClock::millis);
    }

    TargetLoad load() {
      return targets.all().get(0).load();
    }
  }

  private static Optional<byte[]> announcement(long coldRemainingMillis) {
    String json =
        "{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":1,"
            + "\"state\":\"ready\",\"cold_remaining_ms\":%d}".formatted(coldRemainingMillis);
    return Optional.of(json.getBytes(StandardCharsets.UTF_8));
  }

  private static Frame snapshotOf(long coldRemainingMillis, long ageMillis) {
    KeyedRecord record =
        new KeyedRecord(
            new LogPosition(1, 0),
            "t",
            announcement(coldRemainingMillis),
            Optional.empty(),
            MonotonicClock.millis() - ageMillis);
    return RecordMessages.frame(
        StoreClient.TARGETS_TOPIC,
        new RecordBatch(0, new LogPosition(1, 1), true, List.of(record)));
  }

  // Guards against a fresh entry that limits a warm target, or one that soon is. It gets the first
  // record of the cold period, which entries that don't read the store hold until it changes.
  @Test
  void recordHeldByOtherEntriesEndsColdPeriodWhenItIsOver() {
    Member holder = new Member(new WrittenRecords());
    holder.topics.onProgress(snapshotOf(60_000, 40_000).getRecordProgress(), "peer");
    Member fresh = new Member(new WrittenRecords());
    holder
        .topics
        .snapshots()
        .forEach(frame -> fresh.topics.onProgress(frame.getRecordProgress(), "peer"));
    long now = MonotonicClock.millis();
    assertThat(fresh.load().isCold(now + 10_000)).isTrue();
    assertThat(fresh.load().isCold(now + 21_000)).isFalse();

    Member later = new Member(new WrittenRecords());
    later.topics.onProgress(snapshotOf(60_000, 600_000).getRecordProgress(), "peer");
    assertThat(later.load().isCold(now)).isFalse();
  }

  private List<Long> offsetsPassedOn(long coldRemainingMillis) {
    return offsetsPassedOn("t", coldRemainingMillis);
  }

  private List<Long> offsetsPassedOn(String id, long coldRemainingMillis) {
    written.add(
        new KeyedRecord(new LogPosition(1, written.size()), id, announcement(coldRemainingMillis)));
    broadcasts.clear();
    time += 1_000;
    reader.topics.tick(time, 0, 3);
    return broadcasts.stream()
        .map(Frame::getRecordProgress)
        .filter(progress -> progress.getTopic().equals(StoreClient.TARGETS_TOPIC))
        .map(RecordProgress::getRecordsList)
        .flatMap(List::stream)
        .map(Record::getOffset)
        .toList();
  }

  // Guards against entries that hold the first record of a cold period for as long as the target
  // runs, and against records that are passed on every second.
  @Test
  void readerPassesOnBeginAndEndOfColdPeriodOnly() {
    assertThat(offsetsPassedOn(0)).containsExactly(0L);
    assertThat(offsetsPassedOn(60_000)).containsExactly(1L);
    assertThat(offsetsPassedOn(59_000)).isEmpty();
    assertThat(offsetsPassedOn(58_000)).isEmpty();
    assertThat(offsetsPassedOn(0)).containsExactly(4L);
    assertThat(offsetsPassedOn(0)).isEmpty();
  }

  // Guards against entries that keep a live target displaced by another writer's record with its
  // address, as they never learn that it renews its own.
  @Test
  void readerPassesOnRenewalsWhileTwoRecordsShareAnAddress() {
    assertThat(offsetsPassedOn("t", 0)).containsExactly(0L);
    assertThat(offsetsPassedOn("t", 0)).isEmpty();
    assertThat(offsetsPassedOn("odd", 0)).containsExactly(2L);
    assertThat(offsetsPassedOn("t", 0)).containsExactly(3L);
    assertThat(offsetsPassedOn("odd", 0)).containsExactly(4L);
  }

  // Guards against a link to what another writer left among the entries' addresses, which would be
  // looked up as a name.
  @Test
  void onlyIpNumbersAreTakenForEntries() {
    Stream.of("10.0.0.1", "not-an-address", "127.1", "", "\u0000", "10.0.0.300", "::1", "10.0.0.2")
        .forEach(
            host ->
                entries.add(
                    new KeyedRecord(
                        new LogPosition(1, entries.size()),
                        "e" + entries.size(),
                        Optional.of(host.getBytes(StandardCharsets.UTF_8)))));
    reader.topics.tick(time, 0, 1);

    assertThat(entryHosts).containsExactly("10.0.0.1", "::1", "10.0.0.2");
  }
}
