package dev.ibishub.gateway.callers;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Arrays;
import java.util.Locale;
import java.util.function.IntSupplier;

/** Metrics of what callers take of the process, and of the limits that they meet. Thread-safe. */
public final class CallerMetrics {
  private final Counter events;
  private final String port;

  /**
   * Creates the metrics of the port for callers' requests.
   *
   * @param connections returns the number of callers' connections
   */
  public CallerMetrics(
      PrometheusRegistry registry,
      CallerMemory memory,
      IntSupplier connections,
      UnwrittenResponses unwritten) {
    this(
        Counter.builder()
            .name("ibishub_caller_limits_total")
            .help("How often a limit on memory or connections applied, by port and what it did.")
            .labelNames("port", "event")
            .register(registry),
        "requests");
    Arrays.stream(CallerLimitEvent.values())
        .forEach(event -> events.labelValues(port, event.label()).inc(0));
    GaugeWithCallback.builder()
        .name("ibishub_caller_memory_bytes")
        .help("Memory that is held for callers, by what it is held for, bytes.")
        .labelNames("kind")
        .callback(
            callback ->
                Arrays.stream(CallerMemory.Kind.values())
                    .forEach(
                        kind ->
                            callback.call(
                                (double) memory.bytes(kind), kind.name().toLowerCase(Locale.ROOT))))
        .register(registry);
    GaugeWithCallback.builder()
        .name("ibishub_caller_connections")
        .help("Open connections of callers.")
        .callback(callback -> callback.call(connections.getAsInt()))
        .register(registry);
    GaugeWithCallback.builder()
        .name("ibishub_caller_unwritten_responses")
        .help("Responses that are complete and not yet accepted by the callers' sockets.")
        .callback(callback -> callback.call(unwritten.responses()))
        .register(registry);
    GaugeWithCallback.builder()
        .name("ibishub_caller_unwritten_bytes")
        .help("Bytes of responses that the callers' sockets have not accepted yet.")
        .callback(callback -> callback.call((double) unwritten.bytes()))
        .register(registry);
  }

  private CallerMetrics(Counter events, String port) {
    this.events = events;
    this.port = port;
  }

  /** Returns metrics that count the events of another port. */
  CallerMetrics forPort(String name) {
    return new CallerMetrics(events, name);
  }

  /** Counts an event. */
  public void count(CallerLimitEvent event) {
    events.labelValues(port, event.label()).inc();
  }
}
