package dev.ibishub.core;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * All answers that a process keeps, under one bound on their bytes. Over the bound go first the
 * answers that have ended and were relayed whole, oldest first; then released chunks of running
 * answers; last the answers that have ended and were not relayed whole.
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
   * @param maximumBytes the bound on the data of all chunks
   * @param maximumAnswers the most answers that are kept after their end
   * @return the set
   */
  public static StreamBuffers create(long maximumBytes, int maximumAnswers) {
    if (maximumBytes < 1 || maximumAnswers < 1) {
      throw new IllegalArgumentException("the bounds must be positive");
    }
    return new StreamBuffers(maximumBytes, maximumAnswers);
  }

  /**
   * Opens the buffer of an attempt.
   *
   * @param attemptId the attempt
   * @return its new buffer
   * @throws IllegalStateException if the attempt has one: two generations must not share a buffer
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
   * @param attemptId the attempt
   * @return empty when it was never opened or is no longer kept
   */
  public synchronized Optional<StreamBuffer> find(String attemptId) {
    StreamBuffer buffer = running.get(attemptId);
    return Optional.ofNullable(buffer == null ? finished.get(attemptId) : buffer);
  }

  /**
   * Says whether a producer may go on. One that does not wait is not refused, but then the bound is
   * passed by what it appends.
   *
   * @return false when the bound is reached and nothing may be dropped
   */
  public synchronized boolean hasRoom() {
    makeRoom();
    return bytes < maximumBytes;
  }

  /**
   * Returns the bytes kept.
   *
   * @return the data of all chunks, added up
   */
  public synchronized long bytes() {
    return bytes;
  }

  synchronized void grew(int length) {
    bytes += length;
    makeRoom();
  }

  synchronized void ended(StreamBuffer buffer) {
    running.remove(buffer.attemptId());
    finished.put(buffer.attemptId(), buffer);
    makeRoom();
  }

  private void makeRoom() {
    dropFinished(StreamBuffer::isReleased);
    for (StreamBuffer buffer : running.values()) {
      if (bytes <= maximumBytes) {
        return;
      }
      bytes -= buffer.drop(bytes - maximumBytes);
    }
    dropFinished(buffer -> true);
  }

  private void dropFinished(Predicate<StreamBuffer> mayGo) {
    Iterator<StreamBuffer> oldestFirst = finished.values().iterator();
    while (oldestFirst.hasNext() && (bytes > maximumBytes || finished.size() > maximumAnswers)) {
      StreamBuffer oldest = oldestFirst.next();
      if (mayGo.test(oldest)) {
        oldestFirst.remove();
        bytes -= oldest.dropAll();
      }
    }
  }
}
