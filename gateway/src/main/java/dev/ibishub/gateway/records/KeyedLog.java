package dev.ibishub.gateway.records;

import java.util.concurrent.CompletableFuture;

/**
 * A log of the platform that keeps the newest record of each key. It may come back from an older
 * copy of itself, with a higher epoch ({@link dev.ibishub.core.entries.LogPosition}).
 * Implementations are thread-safe and don't retry, since every call is charged for.
 */
public interface KeyedLog {
  /**
   * Reads one page of the list with the newest record of every key that exists. Pages are no
   * snapshot: each is as of its own time ({@link ListedRecords}).
   *
   * @param topic name of the log
   * @param after the last key of the page before; empty for the first page
   */
  CompletableFuture<RecordPage> newestPage(String topic, String after);

  /**
   * Reads records in order.
   *
   * @param topic name of the log
   * @param from offset of the first record to read
   * @param waitMillis long-poll timeout if there is no record yet, milliseconds; 0 to return at
   *     once
   * @return the records, possibly none; completes exceptionally with {@link HistoryLostException}
   *     if the log doesn't have {@code from}: it is no longer retained, or the log came back from a
   *     copy that ends before it
   */
  CompletableFuture<RecordBatch> read(String topic, long from, long waitMillis);

  /**
   * Appends a record.
   *
   * @return completes with the epoch of the log once the record is stored in it; the record may
   *     have been stored even if this completes exceptionally
   */
  CompletableFuture<Long> append(String topic, String key, byte[] value);

  /** Thrown when the log doesn't have records from the requested offset on. */
  final class HistoryLostException extends Exception {
    private static final long serialVersionUID = 1;

    public HistoryLostException(String message) {
      super(message);
    }
  }
}
