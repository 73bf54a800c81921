package dev.ibishub.wire;

import io.netty.channel.Channel;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Accepted connections whose handshake is not complete. They are few, and have a deadline, so that
 * connections from elsewhere don't take the descriptors of the process. Thread-safe.
 */
final class Strangers {
  /** Time within which the handshake must be complete, milliseconds. */
  private static final long HANDSHAKE_MILLIS = WireTransport.RECEIVE_TIMEOUT_MILLIS;

  private final Set<Channel> connections = new LinkedHashSet<>();
  private final int maximum;
  private final AtomicLong rejected;

  /**
   * Creates an empty set.
   *
   * @param maximum the most connections; beyond it, the oldest is closed
   * @param rejected counts the connections that are closed
   */
  Strangers(int maximum, AtomicLong rejected) {
    this.maximum = maximum;
    this.rejected = rejected;
  }

  /** Adds a connection, which is closed if its handshake is not complete in time. */
  void add(Channel connection) {
    oldestBeyondMaximum(connection).ifPresent(this::reject);
    connection.closeFuture().addListener(closed -> remove(connection));
    connection
        .eventLoop()
        .schedule(() -> closeStranger(connection), HANDSHAKE_MILLIS, TimeUnit.MILLISECONDS);
  }

  private synchronized Optional<Channel> oldestBeyondMaximum(Channel added) {
    connections.add(added);
    Optional<Channel> oldest =
        connections.size() > maximum ? connections.stream().findFirst() : Optional.empty();
    oldest.ifPresent(connections::remove);
    return oldest;
  }

  /** Removes a connection, as its handshake is complete or it has closed. */
  synchronized boolean remove(Channel connection) {
    return connections.remove(connection);
  }

  private void closeStranger(Channel connection) {
    if (remove(connection)) {
      reject(connection);
    }
  }

  private void reject(Channel connection) {
    rejected.incrementAndGet();
    connection.close();
  }
}
