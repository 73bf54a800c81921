package dev.ibishub.gateway.front;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Metrics of admission. Thread-safe. */
final class AdmissionMetrics {
  private static final double MILLIS_PER_SECOND = 1_000;

  private final Gauge waiting;
  private final Gauge capacity;
  private final Gauge passTime;
  private final Counter decisions;
  private final Counter waits;
  private final Histogram waitTimes;

  AdmissionMetrics(PrometheusRegistry registry) {
    waiting =
        Gauge.builder()
            .name("ibishub_admission_waiting_requests")
            .help("Requests that wait at this entry, by service.")
            .labelNames("service")
            .register(registry);
    capacity =
        Gauge.builder()
            .name("ibishub_admission_requests_per_target")
            .help("Requests that an engine may run by the estimate, by service.")
            .labelNames("service")
            .register(registry);
    passTime =
        Gauge.builder()
            .name("ibishub_admission_pass_seconds")
            .help("Time between two pieces of a stream, by service.")
            .labelNames("service")
            .register(registry);
    decisions =
        Counter.builder()
            .name("ibishub_admission_decisions_total")
            .help("Decisions about requests that arrived, by service and decision.")
            .labelNames("service", "decision")
            .register(registry);
    waits =
        Counter.builder()
            .name("ibishub_admission_waits_total")
            .help("Waits at this entry that ended, by service and outcome.")
            .labelNames("service", "outcome")
            .register(registry);
    waitTimes =
        Histogram.builder()
            .name("ibishub_admission_wait_seconds")
            .help("Waits that ended with a send, predicted and actual, by service.")
            .labelNames("service", "kind")
            .classicOnly()
            .classicUpperBounds(0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6)
            .register(registry);
  }

  void onState(String service, int waitingRequests, double requestsPerTarget, double passMillis) {
    waiting.labelValues(service).set(waitingRequests);
    capacity.labelValues(service).set(requestsPerTarget);
    passTime.labelValues(service).set(passMillis / MILLIS_PER_SECOND);
  }

  void onDecision(String service, String decision) {
    decisions.labelValues(service, decision).inc();
  }

  void onWaitEnded(String service, String outcome) {
    waits.labelValues(service, outcome).inc();
  }

  void onWaited(String service, long predictedMillis, long actualMillis) {
    waitTimes.labelValues(service, "predicted").observe(predictedMillis / MILLIS_PER_SECOND);
    waitTimes.labelValues(service, "actual").observe(actualMillis / MILLIS_PER_SECOND);
  }
}
