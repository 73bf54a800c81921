package dev.ibishub.entry;

import dev.ibishub.core.ResultCode;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.time.Instant;
import java.util.function.DoubleSupplier;

/** Metrics of an entry; docs/OPERATIONS.md says what each of them means. Thread-safe. */
final class EntryMetrics {
  private static final double NANOS_PER_SECOND = 1e9;

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter requests =
      Counter.builder()
          .name("ibishub_entry_requests_total")
          .help("Admitted requests that ended, by result code.")
          .labelNames("result")
          .register(registry);
  private final Counter refused =
      Counter.builder()
          .name("ibishub_entry_refused_total")
          .help("Requests not admitted, by result code.")
          .labelNames("result")
          .register(registry);
  private final Histogram requestSeconds =
      Histogram.builder()
          .name("ibishub_entry_request_seconds")
          .help("From admission to the end of the answer.")
          .register(registry);

  PrometheusRegistry registry() {
    return registry;
  }

  void refused(ResultCode code) {
    refused.labelValues(code.name()).inc();
  }

  void finished(ResultCode code, Instant startedAt, Instant now) {
    requests.labelValues(code.name()).inc();
    requestSeconds.observe(Duration.between(startedAt, now).toNanos() / NANOS_PER_SECOND);
  }

  void gauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }
}
