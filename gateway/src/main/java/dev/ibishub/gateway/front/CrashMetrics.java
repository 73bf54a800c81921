package dev.ibishub.gateway.front;

import dev.ibishub.core.serving.crashes.CrashFindings;
import dev.ibishub.wire.generated.Frame;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** Metrics of the evidence on crashes, and of its exchange with other entries. Thread-safe. */
final class CrashMetrics {
  private static final String CAUSE = "cause";

  /** Why a message with evidence is sent or was received. */
  enum Cause {
    /** This entry found it. */
    FOUND,
    /** Another entry was linked. */
    LINKED,
    /** Another entry reported what this one knows to be different. */
    CONTRADICTED,
    /** Another entry sent it. */
    RECEIVED;

    private String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  private final Counter events;
  private final Counter messages;
  private final Counter items;
  private final Counter bytes;
  private final Counter rejected;
  private final Histogram mergeSeconds;

  CrashMetrics(PrometheusRegistry registry) {
    events =
        Counter.builder()
            .name("ibishub_crash_events_total")
            .help("Findings on requests that crash targets, own and reported ones, by event.")
            .labelNames("event")
            .register(registry);
    messages =
        Counter.builder()
            .name("ibishub_crash_messages_total")
            .help("Messages with evidence on crashes, by cause; one to all entries counts once.")
            .labelNames(CAUSE)
            .register(registry);
    items =
        Counter.builder()
            .name("ibishub_crash_message_items_total")
            .help("Runs, clearings, probes and quarantines in those messages, by cause.")
            .labelNames(CAUSE)
            .register(registry);
    bytes =
        Counter.builder()
            .name("ibishub_crash_message_bytes_total")
            .help("Bytes of those messages, by cause.")
            .labelNames(CAUSE)
            .register(registry);
    rejected =
        Counter.builder()
            .name("ibishub_crash_messages_rejected_total")
            .help("Messages with evidence on crashes that were not merged, as too many waited.")
            .register(registry);
    mergeSeconds =
        Histogram.builder()
            .name("ibishub_crash_merge_seconds")
            .help("Time for which the event loop was held to merge received evidence on crashes.")
            .classicOnly()
            .classicUpperBounds(0.000_1, 0.001, 0.005, 0.02, 0.05, 0.25, 1)
            .register(registry);
  }

  void onFindings(CrashFindings findings) {
    events.labelValues("suspected").inc(findings.runs().size());
    events.labelValues("cleared").inc(findings.cleared().size());
    events.labelValues("probed").inc(findings.probes().size());
    events.labelValues("quarantined").inc(findings.quarantines().size());
  }

  void onMessage(Cause cause, CrashFindings findings, Frame frame) {
    onMessage(cause, findings, frame.getCrashReport().getSerializedSize());
  }

  void onMessage(Cause cause, CrashFindings findings, int size) {
    messages.labelValues(cause.label()).inc();
    items
        .labelValues(cause.label())
        .inc(
            findings.runs().size()
                + findings.cleared().size()
                + findings.probes().size()
                + findings.quarantines().size());
    bytes.labelValues(cause.label()).inc(size);
  }

  void onRejected() {
    rejected.inc();
  }

  void onMerged(long nanos) {
    mergeSeconds.observe(nanos / (double) TimeUnit.SECONDS.toNanos(1));
  }
}
