package dev.ibishub.outbound;

import java.time.Instant;
import java.util.concurrent.CompletableFuture;

/**
 * Client of the platform's append-only log service. Streams are named; the offsets of a stream
 * start at 0, grow by one with each record and are never reused. Records are kept for a limited
 * time.
 *
 * <p>Implementations are thread-safe and never retry an append by themselves.
 */
public interface AppendOnlyLog {
  /**
   * Appends one record.
   *
   * @param stream the name of the stream
   * @param record the bytes to append
   * @return the record's offset; fails with {@code LOG_UNAVAILABLE} if the record was certainly not
   *     appended, and with {@code OUTCOME_UNKNOWN} if the answer was lost and it may have been
   */
  CompletableFuture<Long> append(String stream, byte[] record);

  /**
   * Reads records in offset order.
   *
   * @param stream the name of the stream
   * @param fromOffset the first offset to read; if its record has expired, the page starts at the
   *     first record still kept
   * @param maximumRecords the maximum number of records to return
   * @param waitUntil how long to wait for a record if there is none yet
   * @return the page, which may be empty; fails with {@code LOG_UNAVAILABLE}
   */
  CompletableFuture<LogPage> read(
      String stream, long fromOffset, int maximumRecords, Instant waitUntil);
}
