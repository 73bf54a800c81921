package dev.ibishub.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * The chunks of one attempt's answer, kept for relay and for callers that resume at another entry.
 * Made by {@link StreamBuffers}, which bounds all buffers of a process together.
 *
 * <p>Only chunks that were {@linkplain #release released} are dropped to make room, so a slow
 * reader is held back and not cut off.
 *
 * <p>Thread-safe.
 */
public final class StreamBuffer {
  private final String attemptId;
  private final StreamBuffers owner;
  private final List<NumberedChunk> chunks = new ArrayList<>();
  private final CRC32C checksum = new CRC32C();
  private long nextNumber;
  private long released;
  private AnswerEnd end;

  StreamBuffer(String attemptId, StreamBuffers owner) {
    this.attemptId = attemptId;
    this.owner = owner;
  }

  /** Returns the attempt whose answer this is. */
  public String attemptId() {
    return attemptId;
  }

  /**
   * Adds the next chunk.
   *
   * @param number its number, which must be the next one
   * @param data its bytes, not to be changed afterwards
   * @throws IllegalStateException if the number leaves a gap or the answer has ended
   */
  public void append(long number, byte[] data) {
    synchronized (this) {
      if (end != null || number != nextNumber) {
        throw new IllegalStateException(
            "chunk " + number + " came where " + nextNumber + " was due, ended: " + (end != null));
      }
      chunks.add(new NumberedChunk(number, data));
      checksum.update(data);
      nextNumber++;
    }
    owner.grew(data.length);
  }

  /**
   * Ends the answer. The totals of the chunks are filled in here; a second end is ignored.
   *
   * @param how how the answer ended
   */
  public void end(AnswerEnd how) {
    synchronized (this) {
      if (end != null) {
        return;
      }
      end = how.withTotals(nextNumber, (int) checksum.getValue());
    }
    owner.ended(this);
  }

  /**
   * Returns the end with its totals.
   *
   * @return empty while the answer still grows
   */
  public synchronized Optional<AnswerEnd> ending() {
    return Optional.ofNullable(end);
  }

  /**
   * Reads chunks that are still kept.
   *
   * @param from the first number wanted
   * @param maximum the most chunks wanted
   * @return the chunks in order, empty when the answer has not come that far
   * @throws ResultException with {@code STREAM_POSITION_LOST} when chunks from that number on were
   *     dropped, or the answer ended before it
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
   * Allows chunks to be dropped when room is needed.
   *
   * @param below the chunks with lower numbers have reached the entry
   */
  public synchronized void release(long below) {
    released = Math.max(released, Math.min(below, nextNumber));
  }

  /** Says whether the answer has ended and all of it has reached the entry. */
  synchronized boolean isReleased() {
    return end != null && released == nextNumber;
  }

  /** Drops released chunks, oldest first, until so many bytes are free; returns how many are. */
  synchronized long drop(long bytesWanted) {
    long freed = 0;
    int count = 0;
    long droppable = released - firstKept();
    while (freed < bytesWanted && count < droppable) {
      freed += chunks.get(count).data().length;
      count++;
    }
    chunks.subList(0, count).clear();
    return freed;
  }

  /** Drops all chunks; returns how many bytes that frees. */
  synchronized long dropAll() {
    long freed = chunks.stream().mapToLong(chunk -> chunk.data().length).sum();
    chunks.clear();
    return freed;
  }

  private long firstKept() {
    return nextNumber - chunks.size();
  }
}
