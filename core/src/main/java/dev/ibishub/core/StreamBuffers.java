package dev.ibishub.core;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The answers kept by a process, with a common bound on their bytes. Above the bound, data is
 * evicted in this order: finished answers that were relayed completely, oldest first; released
 * chunks of running answers; finished answers that were not relayed completely.
 *
 * <p>Thread-safe.
 */
public final class StreamBuffers {
  private final long maximumBytes;
  private final int maximumAnswers;
  private final Map<String, StreamBuffer> running = new LinkedHashMap<>();
  private final Map<String, StreamBuffer> finished = new LinkedHashMap<>();
  private long bytes;

  private StreamBuffers(long maximumBytes, int maximumAnswers) {
    this.maximumBytes = maximumBytes;
    this.maximumAnswers = maximumAnswers;
  }

  /**
   * Creates an empty set of buffers.
   *
   * @param maximumBytes bound on the data of all chunks, in bytes
   * @param maximumAnswers maximum number of finished answers kept
   * @return the set
   */
  public static StreamBuffers create(long maximumBytes, int maximumAnswers) {
    if (maximumBytes < 1 || maximumAnswers < 1) {
      throw new IllegalArgumentException("the bounds must be positive");
    }
    return new StreamBuffers(maximumBytes, maximumAnswers);
  }

  /**
   * Creates the buffer of an attempt.
   *
   * @param attemptId id of the attempt
   * @return the new buffer
   * @throws IllegalStateException if the attempt has a buffer; two generations must not share one
   */
  public synchronized StreamBuffer open(String attemptId) {
    if (find(attemptId).isPresent()) {
      throw new IllegalStateException("attempt " + attemptId + " has a buffer already");
    }
    StreamBuffer buffer = new StreamBuffer(attemptId, this);
    running.put(attemptId, buffer);
    return buffer;
  }

  /**
   * Finds the buffer of an attempt.
   *
   * @param attemptId id of the attempt
   * @return empty if it was never created or was evicted
   */
  public synchronized Optional<StreamBuffer> find(String attemptId) {
    StreamBuffer buffer = running.get(attemptId);
    return Optional.ofNullable(buffer == null ? finished.get(attemptId) : buffer);
  }

  /**
   * Returns whether a producer may continue. A producer that does not wait is not refused, but what
   * it appends exceeds the bound.
   *
   * @return false if the bound is reached and nothing can be evicted
   */
  public synchronized boolean hasRoom() {
    evictToBounds();
    return bytes < maximumBytes;
  }

  /**
   * Returns the number of bytes kept.
   *
   * @return total size of the data of all chunks
   */
  public synchronized long bytes() {
    return bytes;
  }

  synchronized void bytesAdded(int length) {
    bytes += length;
    evictToBounds();
  }

  synchronized void ended(StreamBuffer buffer) {
    running.remove(buffer.attemptId());
    finished.put(buffer.attemptId(), buffer);
    evictToBounds();
  }

  private void evictToBounds() {
    evictFinished(StreamBuffer::isAcknowledged);
    for (StreamBuffer buffer : running.values()) {
      if (bytes <= maximumBytes) {
        return;
      }
      bytes -= buffer.evict(bytes - maximumBytes);
    }
    evictFinished(buffer -> true);
  }

  private void evictFinished(Predicate<StreamBuffer> evictable) {
    Iterator<StreamBuffer> oldestFirst = finished.values().iterator();
    while (oldestFirst.hasNext() && (bytes > maximumBytes || finished.size() > maximumAnswers)) {
      StreamBuffer oldest = oldestFirst.next();
      if (evictable.test(oldest)) {
        oldestFirst.remove();
        bytes -= oldest.evictAll();
      }
    }
  }
}
