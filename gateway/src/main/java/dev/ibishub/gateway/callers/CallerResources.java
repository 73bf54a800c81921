package dev.ibishub.gateway.callers;

import dev.ibishub.gateway.callers.CallerMemory.Kind;
import io.netty.channel.Channel;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * What a port for callers may take of the process. Thread-safe.
 *
 * @param memory the account of the memory that is held for callers
 * @param connections the bound on their connections
 * @param unwritten counts what their sockets have not accepted of responses
 * @param metrics counts which limits they meet
 * @param stalledMillis returns the time after which a connection is closed whose caller has read
 *     nothing of a response, milliseconds
 */
public record CallerResources(
    CallerMemory memory,
    ConnectionBound<Channel> connections,
    UnwrittenResponses unwritten,
    CallerMetrics metrics,
    LongSupplier stalledMillis) {
  /** Memory that an open connection takes by itself, bytes. */
  private static final long CONNECTION_BYTES = 4 << 10;

  /**
   * Creates resources.
   *
   * @param maximumConnections returns the most connections as far as descriptors go
   */
  public static CallerResources create(
      PrometheusRegistry registry,
      CallerMemory memory,
      IntSupplier maximumConnections,
      LongSupplier stalledMillis) {
    ConnectionBound<Channel> connections =
        new ConnectionBound<>(
            () ->
                (int)
                    Math.min(
                        maximumConnections.getAsInt(),
                        memory.connectionLimitBytes() / CONNECTION_BYTES));
    UnwrittenResponses unwritten = new UnwrittenResponses();
    return new CallerResources(
        memory,
        connections,
        unwritten,
        new CallerMetrics(registry, memory, connections::size, unwritten),
        stalledMillis);
  }

  /**
   * Returns resources of another port, which share the memory and the count of responses.
   *
   * @param port name of the port in the metrics
   * @param maximumConnections returns the most connections of that port
   */
  public CallerResources forPort(String port, IntSupplier maximumConnections) {
    return new CallerResources(
        memory,
        new ConnectionBound<>(maximumConnections),
        unwritten,
        metrics.forPort(port),
        stalledMillis);
  }

  /**
   * Admits a new connection, and closes the one that has to make room for it.
   *
   * @return the memory of the connection, until it closes; empty if there is no room for it
   */
  public Optional<ConnectionMemory> admit(Channel channel) {
    ConnectionBound.Admission<Channel> admission = connections.admit(channel);
    admission.displaced().ifPresent(each -> close(each, CallerLimitEvent.CONNECTION_DISPLACED));
    if (!admission.isAdmitted()) {
      metrics.count(CallerLimitEvent.CONNECTION_REFUSED);
      return Optional.empty();
    }
    AtomicReference<ConnectionMemory> own = new AtomicReference<>();
    ConnectionMemory opened = memory.open(() -> closeForMemory(channel, own.get()));
    own.set(opened);
    opened.hold(Kind.CONNECTION, CONNECTION_BYTES);
    channel
        .closeFuture()
        .addListener(
            closed -> {
              connections.onClosed(channel);
              opened.release(Kind.CONNECTION, CONNECTION_BYTES);
              opened.onClosed();
            });
    return Optional.of(opened);
  }

  private void closeForMemory(Channel channel, ConnectionMemory held) {
    close(channel, CallerLimitEvent.MEMORY_CLOSED);
    if (channel.eventLoop().inEventLoop()) {
      held.dropBuffers();
    } else {
      channel.eventLoop().execute(held::dropBuffers);
    }
  }

  private void close(Channel channel, CallerLimitEvent cause) {
    metrics.count(cause);
    channel.close();
  }
}
