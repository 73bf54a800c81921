package dev.ibishub.node;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** What a process counts besides requests. Thread-safe. */
final class NodeMetrics {
  private final Counter storeCalls;

  NodeMetrics(PrometheusRegistry registry) {
    storeCalls =
        Counter.builder()
            .name("ibishub_store_calls_total")
            .help("Calls to the platform's store, by call and HTTP status, 0 for no answer.")
            .labelNames("call", "status")
            .register(registry);
  }

  void onStoreCall(String call, int status) {
    storeCalls.labelValues(call, Integer.toString(status)).inc();
  }
}
