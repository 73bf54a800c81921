package dev.ibishub.gateway.callers;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Account of the memory that a process holds for its callers, bounded so that it fits in the heap.
 * Decides what may be reserved, and which connection has to be closed so that the others fit.
 * Performs no I/O. Thread-safe.
 *
 * <pre>{@code
 * ConnectionMemory memory = account.open(channel::close);
 * if (!memory.tryReserve(Kind.BODY, bytes, bytes)) {
 *   reject();
 * }
 * }</pre>
 */
public final class CallerMemory {
  /** Size of the largest request that may take the last quarter of the memory, bytes. */
  static final int SMALL_REQUEST_BYTES = 64 << 10;

  /** Part of the heap that may be held for callers by default. */
  private static final long HEAP_DIVISOR = 2;

  private final LongSupplier limit;
  private final Map<Kind, Long> held = new EnumMap<>(Kind.class);
  private final Set<ConnectionMemory> connections = new HashSet<>();

  /** What memory is held for. */
  public enum Kind {
    /** Objects of open connections. */
    CONNECTION,
    /** Heads of requests that are not complete. */
    ARRIVING_HEAD,
    /** Heads of complete requests. */
    HEAD,
    /** Bodies of requests. */
    BODY,
    /** Objects of requests that run, and of their connections to targets. */
    EXCHANGE,
    /** Responses that were read from targets and are not written to the caller's socket. */
    RESPONSE
  }

  /**
   * Creates an account without connections.
   *
   * @param limit returns the most bytes that may be held, 0 for half of the heap
   */
  public CallerMemory(LongSupplier limit) {
    this.limit = limit;
  }

  /**
   * Opens the part of one connection.
   *
   * @param close closes the connection; called at most once, on any thread, when it has to make
   *     room for others
   */
  public synchronized ConnectionMemory open(Runnable close) {
    ConnectionMemory opened = new ConnectionMemory(this, close);
    connections.add(opened);
    return opened;
  }

  /** Returns the bytes that are held for a kind. */
  public synchronized long bytes(Kind kind) {
    return held.getOrDefault(kind, 0L);
  }

  /** Returns the most bytes that may be held. */
  public long limitBytes() {
    long configured = limit.getAsLong();
    return configured > 0 ? configured : Runtime.getRuntime().maxMemory() / HEAP_DIVISOR;
  }

  /** Returns the most bytes that connections may take by being open. */
  public long connectionLimitBytes() {
    return limitBytes() / 4;
  }

  /**
   * Returns the most bytes of responses. Half of them may be taken by responses that are buffered
   * only so that another target's response can still replace them.
   */
  long responseLimitBytes() {
    return limitBytes() * 3 / 8;
  }

  private long closeBeyondBytes(Kind kind) {
    return switch (kind) {
      case RESPONSE -> responseLimitBytes();
      case ARRIVING_HEAD -> limitBytes() / 8;
      default -> Long.MAX_VALUE;
    };
  }

  /**
   * Reserves memory. A quarter is left to small requests, so that a few large ones don't keep out
   * all others, and half to requests that can run at once.
   */
  synchronized boolean tryReserve(
      ConnectionMemory connection, Kind kind, long bytes, long wholeBytes, boolean waits) {
    long all = limitBytes();
    long bound = waits ? all / 2 : wholeBytes > SMALL_REQUEST_BYTES ? all - all / 4 : all;
    if (total() + bytes > bound) {
      return false;
    }
    change(connection, kind, bytes);
    return true;
  }

  /** Reserves memory of a response that need not be buffered. */
  synchronized boolean tryBuffer(ConnectionMemory connection, long bytes) {
    if (bytes(Kind.RESPONSE) + bytes > responseLimitBytes() / 2) {
      return false;
    }
    change(connection, Kind.RESPONSE, bytes);
    return true;
  }

  /**
   * Takes memory, or gives it back.
   *
   * @return the connection that has to be closed now, so that all others fit
   */
  synchronized Optional<ConnectionMemory> hold(ConnectionMemory connection, Kind kind, long bytes) {
    change(connection, kind, bytes);
    return bytes > 0 ? largestBeyond(kind) : Optional.empty();
  }

  /**
   * Ends the part of a connection that has closed. Until all that it holds is given back it counts
   * as closing, so that no other connection is closed for it.
   */
  synchronized void onClosed(ConnectionMemory connection) {
    connection.markClosed();
    removeIfOver(connection);
  }

  private void removeIfOver(ConnectionMemory connection) {
    if (connection.isOver()) {
      connections.remove(connection);
    }
  }

  private Optional<ConnectionMemory> largestBeyond(Kind kind) {
    long bound = closeBeyondBytes(kind);
    if (bytes(kind) <= bound || bytes(kind) - bytesOfClosing(kind) <= bound) {
      return Optional.empty();
    }
    Optional<ConnectionMemory> largest =
        connections.stream()
            .filter(each -> !each.isClosing())
            .max(Comparator.comparingLong(each -> each.bytes(kind)));
    largest.ifPresent(ConnectionMemory::markClosing);
    return largest;
  }

  /** Returns the bytes that connections give back as soon as they have closed. */
  private long bytesOfClosing(Kind kind) {
    return connections.stream()
        .filter(ConnectionMemory::isClosing)
        .mapToLong(each -> each.bytes(kind))
        .sum();
  }

  private long total() {
    return held.values().stream().mapToLong(bytes -> bytes).sum();
  }

  private void change(ConnectionMemory connection, Kind kind, long bytes) {
    connection.add(kind, bytes);
    held.merge(kind, bytes, Long::sum);
    removeIfOver(connection);
  }
}
