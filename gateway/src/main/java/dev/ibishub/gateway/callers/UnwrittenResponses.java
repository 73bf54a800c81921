package dev.ibishub.gateway.callers;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts of the parts of responses that were handed to connections and that their sockets have not
 * accepted yet. A part that is counted is lost if its connection is closed. Thread-safe.
 */
public final class UnwrittenResponses {
  private final AtomicInteger responses = new AtomicInteger();
  private final AtomicLong bytes = new AtomicLong();

  /** Returns the number of responses that were handed over whole and aren't written. */
  public int responses() {
    return responses.get();
  }

  /** Returns the bytes of all parts of responses that aren't written. */
  public long bytes() {
    return bytes.get();
  }

  void add(long partBytes, boolean isLastPart) {
    bytes.addAndGet(partBytes);
    responses.addAndGet(isLastPart ? 1 : 0);
  }

  /** Removes a part that was written, or dropped as its connection has closed. */
  void remove(long partBytes, boolean isLastPart) {
    bytes.addAndGet(-partBytes);
    responses.addAndGet(isLastPart ? -1 : 0);
  }
}
