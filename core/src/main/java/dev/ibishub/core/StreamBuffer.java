package dev.ibishub.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * The chunks of one attempt's answer, kept for relay and for callers that resume at another entry.
 * Created by {@link StreamBuffers}, which bounds the memory of all buffers in a process.
 *
 * <p>While the answer is running, only chunks that were {@linkplain #acknowledge acknowledged} are
 * evicted, so a slow reader causes back-pressure and loses nothing.
 *
 * <p>Thread-safe.
 */
public final class StreamBuffer {
  private final String attemptId;
  private final StreamBuffers owner;
  private final List<NumberedChunk> chunks = new ArrayList<>();
  private final CRC32C checksum = new CRC32C();
  private long nextNumber;
  private long acknowledgedCount;
  private AnswerEnd end;

  StreamBuffer(String attemptId, StreamBuffers owner) {
    this.attemptId = attemptId;
    this.owner = owner;
  }

  /** Returns the id of the attempt. */
  public String attemptId() {
    return attemptId;
  }

  /**
   * Adds the next chunk.
   *
   * @param number number of the chunk, which must be the next one
   * @param data bytes of the chunk, which must not be modified afterwards
   * @throws IllegalStateException if the number leaves a gap or the answer has ended
   */
  public void append(long number, byte[] data) {
    synchronized (this) {
      if (end != null || number != nextNumber) {
        throw new IllegalStateException(
            "chunk "
                + number
                + " appended, "
                + nextNumber
                + " expected; answer ended: "
                + (end != null));
      }
      chunks.add(new NumberedChunk(number, data));
      checksum.update(data);
      nextNumber++;
    }
    owner.bytesAdded(data.length);
  }

  /**
   * Ends the answer and fills in the totals of the chunks. A second end is ignored.
   *
   * @param answerEnd the end of the answer
   */
  public void end(AnswerEnd answerEnd) {
    synchronized (this) {
      if (end != null) {
        return;
      }
      end = answerEnd.withTotals(nextNumber, (int) checksum.getValue());
    }
    owner.ended(this);
  }

  /**
   * Returns the end with its totals.
   *
   * @return empty while the answer is running
   */
  public synchronized Optional<AnswerEnd> ending() {
    return Optional.ofNullable(end);
  }

  /**
   * Reads chunks that are still kept.
   *
   * @param from number of the first chunk to read
   * @param maximum maximum number of chunks to read
   * @return the chunks in order, empty if the answer has not reached that number
   * @throws ResultException with {@code STREAM_POSITION_LOST} if the chunk of that number was
   *     evicted or the answer ended before it
   */
  public synchronized List<NumberedChunk> read(long from, int maximum) {
    long firstKept = firstKept();
    boolean pastTheEnd = end != null && from > nextNumber;
    if (from < firstKept || pastTheEnd) {
      throw new ResultException(
          ResultCode.STREAM_POSITION_LOST,
          "chunk " + from + " is not kept, only " + firstKept + " to " + nextNumber);
    }
    int start = (int) Math.min(from - firstKept, chunks.size());
    return List.copyOf(chunks.subList(start, Math.min(chunks.size(), start + maximum)));
  }

  /**
   * Allows chunks to be evicted when memory is needed.
   *
   * @param below chunks with lower numbers have reached the entry
   */
  public synchronized void acknowledge(long below) {
    acknowledgedCount = Math.max(acknowledgedCount, Math.min(below, nextNumber));
  }

  /** Returns whether the answer has ended and all of it has reached the entry. */
  synchronized boolean isAcknowledged() {
    return end != null && acknowledgedCount == nextNumber;
  }

  /**
   * Evicts acknowledged chunks, oldest first, until the given number of bytes is freed; returns the
   * number of bytes freed.
   */
  synchronized long evict(long bytesWanted) {
    long freed = 0;
    int count = 0;
    long evictable = acknowledgedCount - firstKept();
    while (freed < bytesWanted && count < evictable) {
      freed += chunks.get(count).data().length;
      count++;
    }
    chunks.subList(0, count).clear();
    return freed;
  }

  /** Evicts all chunks; returns the number of bytes freed. */
  synchronized long evictAll() {
    long freed = chunks.stream().mapToLong(chunk -> chunk.data().length).sum();
    chunks.clear();
    return freed;
  }

  private long firstKept() {
    return nextNumber - chunks.size();
  }
}
