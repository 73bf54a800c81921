package dev.ibishub.gateway.records;

import java.util.concurrent.CompletableFuture;

/**
 * A log of the platform that keeps the newest record of each key. Implementations are thread-safe
 * and repeat no call by themselves; every call costs.
 */
public interface KeyedLog {
  /**
   * Reads the newest record of every key.
   *
   * @param topic the log's name
   */
  CompletableFuture<RecordBatch> newest(String topic);

  /**
   * Reads records in order.
   *
   * @param topic the log's name
   * @param from the first offset wanted
   * @param waitMillis how long to wait for a first record where there is none yet, milliseconds
   * @return the records, perhaps none; fails with {@link HistoryLostException} when {@code from} is
   *     no longer kept
   */
  CompletableFuture<RecordBatch> read(String topic, long from, long waitMillis);

  /**
   * Appends a record.
   *
   * @return done when it is kept; when this fails the record may have been kept all the same
   */
  CompletableFuture<Void> append(String topic, String key, byte[] value);

  /** The records from the offset that was asked for are no longer kept. */
  final class HistoryLostException extends Exception {
    private static final long serialVersionUID = 1;

    public HistoryLostException(String message) {
      super(message);
    }
  }
}
