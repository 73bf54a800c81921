package dev.ibishub.gateway.records;

import dev.ibishub.core.entries.LogPosition;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * An in-memory keyed log that can be down, lose its history, or answer as of an earlier time. It
 * lists its keys in small pages, and lets a test write between two of them.
 */
public final class FakeKeyedLog implements KeyedLog {
  static final long EPOCH = 1;

  private static final int PAGE_RECORDS = 2;

  private final List<KeyedRecord> records = new ArrayList<>();
  private int pageRecords = PAGE_RECORDS;
  private Runnable betweenPages = () -> {};
  private int firstRetained;
  private int visibleEnd = Integer.MAX_VALUE;
  private boolean isDown;
  private int calls;

  /** Appends a record with a text value. */
  public void put(String key, String value) {
    add(key, value.getBytes(StandardCharsets.UTF_8));
  }

  /** Appends a tombstone. */
  void delete(String key) {
    records.add(new KeyedRecord(new LogPosition(EPOCH, records.size()), key, Optional.empty()));
  }

  /** Sets whether calls fail from now on. */
  public void setDown(boolean down) {
    isDown = down;
  }

  /** Makes reads from earlier offsets fail, as if their records were no longer retained. */
  void forgetHistory() {
    firstRetained = records.size();
  }

  /** Hides the records from an offset on, as a stale replica does. */
  void answerAsOf(int end) {
    visibleEnd = end;
  }

  /** Sets the maximum number of records on a page. */
  void setPageRecords(int maximum) {
    pageRecords = maximum;
  }

  /** Sets what happens after each page but the last, before the next one is read. */
  void setBetweenPages(Runnable action) {
    betweenPages = action;
  }

  int calls() {
    return calls;
  }

  /** Returns the newest record of each key that exists, by key. */
  Map<String, KeyedRecord> newest() {
    Map<String, KeyedRecord> byKey = new TreeMap<>();
    records.subList(0, end()).forEach(record -> byKey.put(record.key(), record));
    byKey.values().removeIf(KeyedRecord::isTombstone);
    return byKey;
  }

  private void add(String key, byte[] value) {
    records.add(new KeyedRecord(new LogPosition(EPOCH, records.size()), key, Optional.of(value)));
  }

  private int end() {
    return Math.min(visibleEnd, records.size());
  }

  @Override
  public CompletableFuture<RecordPage> newestPage(String topic, String after) {
    if (!after.isEmpty()) {
      betweenPages.run();
    }
    calls++;
    if (isDown) {
      return CompletableFuture.failedFuture(new IllegalStateException("down"));
    }
    List<KeyedRecord> left =
        newest().values().stream().filter(record -> record.key().compareTo(after) > 0).toList();
    return CompletableFuture.completedFuture(
        new RecordPage(
            left.stream().limit(pageRecords).toList(),
            new LogPosition(EPOCH, end()),
            left.size() > pageRecords));
  }

  @Override
  public CompletableFuture<RecordBatch> read(String topic, long from, long waitMillis) {
    calls++;
    if (isDown) {
      return CompletableFuture.failedFuture(new IllegalStateException("down"));
    }
    if (from < firstRetained) {
      return CompletableFuture.failedFuture(new HistoryLostException("from " + from));
    }
    List<KeyedRecord> page = records.subList((int) Math.min(from, end()), end());
    return CompletableFuture.completedFuture(
        new RecordBatch(
            from, new LogPosition(EPOCH, from + page.size()), false, List.copyOf(page)));
  }

  @Override
  public CompletableFuture<Long> append(String topic, String key, byte[] value) {
    calls++;
    if (isDown) {
      return CompletableFuture.failedFuture(new IllegalStateException("down"));
    }
    add(key, value);
    return CompletableFuture.completedFuture(EPOCH);
  }
}
