package dev.ibishub.gateway.callers;

import dev.ibishub.gateway.callers.CallerMemory.Kind;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The part of one connection in the {@link CallerMemory} of its process. All that is reserved or
 * held has to be released once, also after the connection has closed. Thread-safe.
 */
public final class ConnectionMemory {
  private final CallerMemory account;
  private final Runnable close;
  private final Set<Runnable> buffers = new HashSet<>();
  private final Map<Kind, Long> held = new EnumMap<>(Kind.class);
  private boolean isClosing;
  private boolean isClosed;

  ConnectionMemory(CallerMemory account, Runnable close) {
    this.account = account;
    this.close = close;
  }

  /**
   * Reserves memory for a request that can run at once.
   *
   * @param bytes size of the part to reserve, bytes
   * @param wholeBytes size of all that is reserved for the request as far as known, bytes
   * @return whether there was room; if not, nothing is reserved
   */
  public boolean tryReserve(Kind kind, long bytes, long wholeBytes) {
    return account.tryReserve(this, kind, bytes, wholeBytes, false);
  }

  /** Reserves memory for a request that has to wait for earlier ones of its connection. */
  public boolean tryReserveWaiting(Kind kind, long bytes) {
    return account.tryReserve(this, kind, bytes, bytes, true);
  }

  /**
   * Reserves memory to buffer a response that could be passed on instead.
   *
   * @return whether there was room; if not, nothing is reserved
   */
  public boolean tryBuffer(long bytes) {
    return account.tryBuffer(this, bytes);
  }

  /**
   * Takes memory for what can't be refused. The connection that holds the most of this kind is
   * closed if all connections together then hold too much; it may be this one.
   */
  public void hold(Kind kind, long bytes) {
    account.hold(this, kind, bytes).ifPresent(largest -> largest.close.run());
  }

  /**
   * Adds a buffer that is dropped when the connection is closed to make room for others.
   *
   * @param drop frees the buffer at once; runs on the event loop of the connection, which would
   *     otherwise free it only after all that it reads in the same turn
   */
  public void addBuffer(Runnable drop) {
    synchronized (account) {
      buffers.add(drop);
    }
  }

  /** Removes a buffer. */
  public void removeBuffer(Runnable drop) {
    synchronized (account) {
      buffers.remove(drop);
    }
  }

  /** Drops all buffers; must run on the event loop of the connection. */
  void dropBuffers() {
    List<Runnable> dropped;
    synchronized (account) {
      dropped = List.copyOf(buffers);
      buffers.clear();
    }
    dropped.forEach(Runnable::run);
  }

  /** Gives memory back. */
  public void release(Kind kind, long bytes) {
    account.hold(this, kind, -bytes);
  }

  /** Returns the bytes that are held for a kind. */
  public long bytes(Kind kind) {
    synchronized (account) {
      return held.getOrDefault(kind, 0L);
    }
  }

  /** Ends this part, as the connection has closed. */
  public void onClosed() {
    account.onClosed(this);
  }

  /** Adds bytes; the caller holds the lock of the account. */
  void add(Kind kind, long bytes) {
    held.merge(kind, bytes, Long::sum);
  }

  boolean isClosing() {
    return isClosing;
  }

  void markClosing() {
    isClosing = true;
  }

  void markClosed() {
    isClosing = true;
    isClosed = true;
  }

  /** Whether the connection has closed and nothing is held for it. */
  boolean isOver() {
    return isClosed && held.values().stream().allMatch(bytes -> bytes == 0);
  }
}
