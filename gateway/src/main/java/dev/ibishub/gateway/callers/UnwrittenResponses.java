package dev.ibishub.gateway.callers;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts of what was handed to connections and that their sockets have not accepted yet. A response
 * that was handed over whole is lost if its connection is closed before. Thread-safe.
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

  void onHandedOver(long partBytes, boolean isLastPart) {
    bytes.addAndGet(partBytes);
    responses.addAndGet(isLastPart ? 1 : 0);
  }

  /** Notes that a part was written, or dropped as its connection has closed. */
  void onOver(long partBytes, boolean wasLastPart) {
    bytes.addAndGet(-partBytes);
    responses.addAndGet(wasLastPart ? -1 : 0);
  }
}
