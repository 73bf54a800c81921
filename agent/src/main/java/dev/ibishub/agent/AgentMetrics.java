package dev.ibishub.agent;

import dev.ibishub.core.ResultCode;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.time.Instant;
import java.util.function.DoubleSupplier;

/** Metrics of an agent, described in {@code docs/OPERATIONS.md}. Thread-safe. */
final class AgentMetrics {
  private static final double NANOS = 1e9;

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter dispatched =
      Counter.builder()
          .name("ibishub_agent_attempts_total")
          .help("Attempts taken into the queue.")
          .register(registry);
  private final Counter ended =
      Counter.builder()
          .name("ibishub_agent_attempts_ended_total")
          .help("Attempts that started and ended, by result code.")
          .labelNames("result")
          .register(registry);
  private final Counter notRun =
      Counter.builder()
          .name("ibishub_agent_attempts_not_run_total")
          .help("Attempts refused or handed back without a start, by result code.")
          .labelNames("result")
          .register(registry);
  private final Histogram seconds =
      Histogram.builder()
          .name("ibishub_agent_attempt_seconds")
          .help("From the start of an attempt to its end.")
          .register(registry);

  PrometheusRegistry registry() {
    return registry;
  }

  void dispatched() {
    dispatched.inc();
  }

  void finished(ResultCode code, Instant startedAt, Instant now) {
    ended.labelValues(code.name()).inc();
    seconds.observe(Duration.between(startedAt, now).toNanos() / NANOS);
  }

  void notRun(ResultCode code) {
    notRun.labelValues(code.name()).inc();
  }

  void gauge(String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call(value.getAsDouble()))
        .register(registry);
  }
}
