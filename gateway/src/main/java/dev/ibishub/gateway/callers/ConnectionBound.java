package dev.ibishub.gateway.callers;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;

/**
 * Bound on the connections of a port. Beyond it the connection that has been without a complete
 * request for the longest time makes room for a new one; if all have requests, the new one is
 * refused. Performs no I/O. Thread-safe.
 *
 * @param <C> a connection
 */
public final class ConnectionBound<C> {
  private final IntSupplier maximum;

  /**
   * Connections without a complete request, the one that has been so for the longest time first.
   */
  private final Set<C> idle = new LinkedHashSet<>();

  private final Set<C> busy = new HashSet<>();

  /**
   * The decision on a new connection.
   *
   * @param isAdmitted whether it may stay open
   * @param displaced the connection that has to be closed for it
   */
  public record Admission<C>(boolean isAdmitted, Optional<C> displaced) {}

  /**
   * Creates a bound without connections.
   *
   * @param maximum returns the most connections, 1 or more
   */
  public ConnectionBound(IntSupplier maximum) {
    this.maximum = maximum;
  }

  /** Decides on a new connection, which counts from now on if it is admitted. */
  public synchronized Admission<C> admit(C connection) {
    Optional<C> displaced = isFull() ? idle.stream().findFirst() : Optional.empty();
    displaced.ifPresent(idle::remove);
    boolean isAdmitted = !isFull();
    if (isAdmitted) {
      idle.add(connection);
    }
    return new Admission<>(isAdmitted, displaced);
  }

  private boolean isFull() {
    return size() >= maximum.getAsInt();
  }

  /** Notes that an admitted connection has a complete request. */
  public synchronized void onBusy(C connection) {
    if (idle.remove(connection)) {
      busy.add(connection);
    }
  }

  /** Notes that an admitted connection has no complete request any more. */
  public synchronized void onIdle(C connection) {
    if (busy.remove(connection)) {
      idle.add(connection);
    }
  }

  /** Notes that a connection has closed, whether it was admitted or not. */
  public synchronized void onClosed(C connection) {
    idle.remove(connection);
    busy.remove(connection);
  }

  /** Returns the number of connections that count. */
  public synchronized int size() {
    return idle.size() + busy.size();
  }
}
