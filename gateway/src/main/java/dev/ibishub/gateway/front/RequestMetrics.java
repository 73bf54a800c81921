package dev.ibishub.gateway.front;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Metrics of the request path. Thread-safe. */
public final class RequestMetrics {
  private final Counter requests;
  private final Counter attempts;
  private final Histogram firstPiece;
  private final Histogram longestPause;
  private final Histogram cancelling;

  /**
   * Creates the metrics.
   *
   * @param registry where they are registered
   */
  public RequestMetrics(PrometheusRegistry registry) {
    requests =
        Counter.builder()
            .name("ibishub_requests_total")
            .help("Callers' requests that ended, by service and result.")
            .labelNames("service", "result")
            .register(registry);
    attempts =
        Counter.builder()
            .name("ibishub_attempts_total")
            .help("Attempts at targets that ended, by service and outcome.")
            .labelNames("service", "outcome")
            .register(registry);
    firstPiece =
        Histogram.builder()
            .name("ibishub_first_piece_seconds")
            .help("Time from a request's arrival to the first piece of its answer, by service.")
            .labelNames("service")
            .classicOnly()
            .classicUpperBounds(0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1, 2, 4, 8)
            .register(registry);
    longestPause =
        Histogram.builder()
            .name("ibishub_longest_pause_seconds")
            .help("Longest pause between two pieces of an answer, by service.")
            .labelNames("service")
            .classicOnly()
            .classicUpperBounds(0.06, 0.08, 0.1, 0.12, 0.15, 0.2, 0.4, 1, 2)
            .register(registry);
    cancelling =
        Histogram.builder()
            .name("ibishub_cancel_seconds")
            .help(
                "Time from noticing that a caller left to the close of its last target connection.")
            .classicOnly()
            .classicUpperBounds(0.001, 0.005, 0.02, 0.1, 0.25, 0.5, 1, 2)
            .register(registry);
  }

  void onRequestEnded(String service, String result) {
    requests.labelValues(service, result).inc();
  }

  /** Counts a caller that left while its request ran, once its runs were cancelled. */
  void onCancelled(long millis) {
    cancelling.observe(millis / 1_000.0);
  }

  void onAttemptEnded(String service, String outcome) {
    attempts.labelValues(service, outcome).inc();
  }

  void onResponse(String service, long firstPieceMillis, long longestPauseMillis) {
    firstPiece.labelValues(service).observe(firstPieceMillis / 1_000.0);
    longestPause.labelValues(service).observe(longestPauseMillis / 1_000.0);
  }
}
