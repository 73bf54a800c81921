package dev.ibishub.gateway.callers;

import dev.ibishub.gateway.callers.CallerMemory.Kind;
import io.netty.channel.Channel;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.LongSupplier;

/**
 * What a port for callers may take of the process. Thread-safe.
 *
 * @param memory the account of the memory that is held for callers
 * @param metrics counts which limits they meet
 * @param stalledMillis returns the time after which a connection is closed whose caller has read
 *     nothing of a response, milliseconds
 */
public record CallerResources(
    CallerMemory memory, CallerMetrics metrics, LongSupplier stalledMillis) {
  /** Memory that an open connection takes by itself, bytes. */
  public static final long CONNECTION_BYTES = 4 << 10;

  /** Creates resources. */
  public static CallerResources create(
      PrometheusRegistry registry, CallerMemory memory, LongSupplier stalledMillis) {
    return new CallerResources(memory, new CallerMetrics(registry, memory), stalledMillis);
  }

  /** Opens the memory of a new connection, until it closes. */
  public ConnectionMemory open(Channel channel) {
    ConnectionMemory opened = memory.open(() -> close(channel, CallerLimitEvent.MEMORY_CLOSED));
    opened.hold(Kind.CONNECTION, CONNECTION_BYTES);
    channel
        .closeFuture()
        .addListener(
            closed -> {
              opened.release(Kind.CONNECTION, CONNECTION_BYTES);
              opened.onClosed();
            });
    return opened;
  }

  private void close(Channel channel, CallerLimitEvent cause) {
    metrics.count(cause);
    channel.close();
  }
}
