package dev.ibishub.outbound;

import java.time.Instant;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's append-only log service. Streams are named; offsets of a stream start at 0, grow
 * by one for each record and are never used again. Records are kept for a limited time.
 *
 * <p>Implementations are thread-safe and never repeat an append by themselves.
 */
public interface AppendOnlyLog {
  /**
   * Appends one record.
   *
   * @param stream the name of the stream
   * @param record the bytes to keep
   * @return the record's offset; fails with {@code LOG_UNAVAILABLE} when the record was surely not
   *     appended, and with {@code OUTCOME_UNKNOWN} when the answer was lost and it may have been
   */
  CompletableFuture<Long> append(String stream, byte[] record);

  /**
   * Reads records in offset order.
   *
   * @param stream the name of the stream
   * @param fromOffset the first offset wanted; when retention has passed it, the page starts at the
   *     first record still kept
   * @param maximumRecords the most records wanted
   * @param waitUntil until when to wait for a first record where there is none yet
   * @return the page, perhaps empty; fails with {@code LOG_UNAVAILABLE}
   */
  CompletableFuture<LogPage> read(
      String stream, long fromOffset, int maximumRecords, Instant waitUntil);
}
