package dev.ibishub.gateway.records;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** A keyed log in memory that can be down, forget its history, or answer from a while ago. */
public final class FakeKeyedLog implements KeyedLog {
  private final List<KeyedRecord> records = new ArrayList<>();
  private int firstKept;
  private int seen = Integer.MAX_VALUE;
  private boolean isDown;
  private int calls;

  /** Adds a record. */
  public void put(String key, String value) {
    add(key, value.getBytes(StandardCharsets.UTF_8));
  }

  void drop(String key) {
    records.add(new KeyedRecord(records.size(), key, Optional.empty()));
  }

  /** Has every call fail from now on, or none. */
  public void setDown(boolean down) {
    isDown = down;
  }

  void forgetHistory() {
    firstKept = records.size();
  }

  /** Answers as if the log had ended after so many records. */
  void answerAsOf(int end) {
    seen = end;
  }

  int calls() {
    return calls;
  }

  private void add(String key, byte[] value) {
    records.add(new KeyedRecord(records.size(), key, Optional.of(value)));
  }

  private int end() {
    return Math.min(seen, records.size());
  }

  @Override
  public CompletableFuture<RecordBatch> newest(String topic) {
    calls++;
    if (isDown) {
      return CompletableFuture.failedFuture(new IllegalStateException("down"));
    }
    Map<String, KeyedRecord> byKey = new LinkedHashMap<>();
    records.subList(0, end()).forEach(record -> byKey.put(record.key(), record));
    List<KeyedRecord> present =
        byKey.values().stream().filter(record -> record.value().isPresent()).toList();
    return CompletableFuture.completedFuture(new RecordBatch(0, end(), true, present));
  }

  @Override
  public CompletableFuture<RecordBatch> read(String topic, long from, long waitMillis) {
    calls++;
    if (isDown) {
      return CompletableFuture.failedFuture(new IllegalStateException("down"));
    }
    if (from < firstKept) {
      return CompletableFuture.failedFuture(new HistoryLostException("from " + from));
    }
    List<KeyedRecord> page = records.subList((int) Math.min(from, end()), end());
    return CompletableFuture.completedFuture(
        new RecordBatch(from, from + page.size(), false, List.copyOf(page)));
  }

  @Override
  public CompletableFuture<Void> append(String topic, String key, byte[] value) {
    calls++;
    if (isDown) {
      return CompletableFuture.failedFuture(new IllegalStateException("down"));
    }
    add(key, value);
    return CompletableFuture.completedFuture(null);
  }
}
