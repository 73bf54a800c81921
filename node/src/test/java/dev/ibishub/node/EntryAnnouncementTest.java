package dev.ibishub.node;

import static org.assertj.core.api.Assertions.assertThat;

import dev.ibishub.gateway.records.KeyedLog;
import dev.ibishub.gateway.records.RecordBatch;
import dev.ibishub.gateway.records.RecordPage;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests when entries write their own records to a store that rejects them. */
final class EntryAnnouncementTest {
  private static final long TICK_MILLIS = 25;
  private static final long OUTAGE_MILLIS = 20_000;
  private static final long SECOND_MILLIS = 1_000;

  private final NavigableMap<Long, Integer> callsAt = new TreeMap<>();
  private boolean isRejecting = true;
  private long epoch = 1;
  private long now;

  /** A store that accepts appends, or rejects them at once. */
  private final class Store implements KeyedLog {
    @Override
    public CompletableFuture<RecordPage> newestPage(String topic, String after) {
      throw new UnsupportedOperationException("no reads expected");
    }

    @Override
    public CompletableFuture<RecordBatch> read(String topic, long from, long waitMillis) {
      throw new UnsupportedOperationException("no reads expected");
    }

    @Override
    public CompletableFuture<Long> append(String topic, String key, byte[] value) {
      callsAt.merge(now, 1, Integer::sum);
      return isRejecting
          ? CompletableFuture.failedFuture(new IOException("429"))
          : CompletableFuture.completedFuture(epoch);
    }
  }

  private List<EntryAnnouncement> entries(int count, Random random) {
    return IntStream.range(0, count)
        .mapToObj(
            index ->
                new EntryAnnouncement(
                    new Store(),
                    "entry-" + index,
                    "10.0.0." + index,
                    () -> now,
                    random::nextDouble))
        .toList();
  }

  private void tickUntil(long end, List<EntryAnnouncement> entries) {
    for (; now < end; now += TICK_MILLIS) {
      entries.forEach(entry -> entry.tick(epoch));
    }
  }

  private int mostCallsInSecond() {
    return callsAt.keySet().stream()
        .mapToInt(from -> sum(callsAt.subMap(from, from + SECOND_MILLIS)))
        .max()
        .orElse(0);
  }

  private static int sum(Map<Long, Integer> counts) {
    return counts.values().stream().mapToInt(Integer::intValue).sum();
  }

  // Guards against entries that exceed the store's write rate because each writes its own record
  // again at each tick while the store rejects it.
  @ParameterizedTest
  @CsvSource({"6, 400", "35, 1200", "58, 1200", "370, 400"})
  void rejectedEntriesStayWithinWriteRate(int count, int writesPerSecond) {
    long seed = count;
    System.out.println("seed " + seed);
    tickUntil(OUTAGE_MILLIS, entries(count, new Random(seed)));

    assertThat(mostCallsInSecond()).isLessThanOrEqualTo(writesPerSecond);
  }

  // Guards against an entry that stays unknown to entries without a common seed after an outage.
  @Test
  void recordIsWrittenOnceAfterTheStoreAcceptsIt() {
    List<EntryAnnouncement> entry = entries(1, new Random(1));
    tickUntil(OUTAGE_MILLIS, entry);
    isRejecting = false;
    callsAt.clear();
    tickUntil(2 * OUTAGE_MILLIS, entry);

    assertThat(sum(callsAt)).isEqualTo(1);
  }

  // Guards against entries whose records stay lost after the store came back from an older copy,
  // and against all of them writing at once then.
  @ParameterizedTest
  @CsvSource({"3, 400", "6, 400", "58, 1200", "370, 400"})
  void recordsAreWrittenAgainAfterEachReturnWithinWriteRate(int count, int writesPerSecond) {
    isRejecting = false;
    List<EntryAnnouncement> entries = entries(count, new Random(count));
    tickUntil(OUTAGE_MILLIS, entries);
    callsAt.clear();
    epoch = 2;
    tickUntil(2 * OUTAGE_MILLIS, entries);
    assertThat(sum(callsAt)).isEqualTo(count);
    assertThat(mostCallsInSecond()).isLessThanOrEqualTo(writesPerSecond);

    epoch = 3;
    tickUntil(3 * OUTAGE_MILLIS, entries);
    assertThat(sum(callsAt)).isEqualTo(2 * count);
  }
}
