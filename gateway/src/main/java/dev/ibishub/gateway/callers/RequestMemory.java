package dev.ibishub.gateway.callers;

import dev.ibishub.gateway.callers.CallerMemory.Kind;
import java.util.EnumMap;
import java.util.Map;

/**
 * Memory that is reserved for one request, from its head until its exchange is done. Not
 * thread-safe.
 */
final class RequestMemory {
  private final ConnectionMemory memory;
  private final boolean waits;
  private final Map<Kind, Long> reserved = new EnumMap<>(Kind.class);

  /**
   * Creates a request without memory.
   *
   * @param waits whether the request has to wait for earlier ones of its connection
   */
  RequestMemory(ConnectionMemory memory, boolean waits) {
    this.memory = memory;
    this.waits = waits;
  }

  /** Reserves memory for the head or the running of the request. */
  boolean tryReserve(Kind kind, long bytes) {
    return reserve(kind, bytes, bytes);
  }

  /**
   * Grows what is reserved for the body.
   *
   * @param bytes size of the body as far as known, bytes
   */
  boolean tryReserveBody(long bytes) {
    long missing = bytes - reserved.getOrDefault(Kind.BODY, 0L);
    return missing <= 0 || reserve(Kind.BODY, missing, bytes);
  }

  private boolean reserve(Kind kind, long bytes, long wholeBytes) {
    boolean isReserved =
        waits ? memory.tryReserveWaiting(kind, bytes) : memory.tryReserve(kind, bytes, wholeBytes);
    if (isReserved) {
      reserved.merge(kind, bytes, Long::sum);
    }
    return isReserved;
  }

  /** Releases all that is reserved; does nothing after that. */
  void release() {
    reserved.forEach(memory::release);
    reserved.clear();
  }
}
