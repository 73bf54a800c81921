package dev.ibishub.node;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.core.entries.LogPosition;
import dev.ibishub.runtime.LogEvent;
import dev.ibishub.wire.generated.Frame;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/** Metrics of an entry other than those of requests. Thread-safe. */
final class NodeMetrics {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Counter storeCalls;
  private final Counter frames;
  private final Counter readTurns;
  private final AtomicLong highestStoreEpoch = new AtomicLong(LogPosition.UNSTATED_EPOCH);

  private final Gauge age;
  private final Gauge version;
  private final Gauge entries;
  private final Gauge leading;
  private final Gauge evacuatedZones;
  private final Gauge storeEpoch;

  /**
   * Creates the metrics.
   *
   * @param registry where they are registered
   */
  NodeMetrics(PrometheusRegistry registry) {
    age =
        Gauge.builder()
            .name("ibishub_knowledge_age_seconds")
            .help("Time since what is known of a topic of the store was last confirmed.")
            .labelNames("topic")
            .register(registry);
    version =
        Gauge.builder()
            .name("ibishub_configuration_version")
            .help("The version of the configuration in force.")
            .register(registry);
    entries =
        Gauge.builder()
            .name("ibishub_entries")
            .help("Entries that are alive, this one included.")
            .register(registry);
    leading =
        Gauge.builder()
            .name("ibishub_leading")
            .help("Whether this entry leads the groups.")
            .register(registry);
    evacuatedZones =
        Gauge.builder()
            .name("ibishub_evacuated_zones")
            .help("Zones that the operator has taken out of service, as known here.")
            .register(registry);
    storeEpoch =
        Gauge.builder()
            .name("ibishub_store_epoch")
            .help("Highest epoch that a response of the store stated; rises when it lost records.")
            .register(registry);
    storeCalls =
        Counter.builder()
            .name("ibishub_store_calls_total")
            .help("Calls to the platform's store, by call and HTTP status, 0 for no answer.")
            .labelNames("call", "status")
            .register(registry);
    readTurns =
        Counter.builder()
            .name("ibishub_read_turns_total")
            .help(
                "Turns to read a topic of the store that entries rejected by it pass to others:"
                    + " passed, unsent where no other entry was linked, or received.")
            .labelNames("topic", "outcome")
            .register(registry);
    frames =
        Counter.builder()
            .name("ibishub_frames_received_total")
            .help("Messages received from other entries, by kind.")
            .labelNames("kind")
            .register(registry);
  }

  /**
   * Adds the metric of connections that were no links.
   *
   * @param rejectedLinks returns how many connections were closed before their handshake
   */
  static void addRejectedLinks(PrometheusRegistry registry, LongSupplier rejectedLinks) {
    CounterWithCallback.builder()
        .name("ibishub_links_rejected_total")
        .help("Connections to the port for links that were closed before their handshake.")
        .callback(callback -> callback.call((double) rejectedLinks.getAsLong()))
        .register(registry);
  }

  /** Counts a message from another entry. */
  void onFrame(Frame frame) {
    frames.labelValues(frame.getBodyCase().name().toLowerCase(Locale.ROOT)).inc();
  }

  /**
   * Counts a turn to read a topic of the store that went from one entry to another.
   *
   * @param outcome passed, unsent or received
   */
  void onReadTurn(String topic, String outcome) {
    readTurns.labelValues(topic, outcome).inc();
  }

  /**
   * Counts a call to the store.
   *
   * @param status HTTP status; 0 if there was no response
   * @param epoch the store's epoch as the response states it
   */
  void onStoreCall(String call, int status, long epoch) {
    storeCalls.labelValues(call, Integer.toString(status)).inc();
    long before = highestStoreEpoch.getAndAccumulate(epoch, Math::max);
    if (epoch > before) {
      storeEpoch.set((double) epoch);
      logger.atInfo().log(
          "%s",
          LogEvent.of("store.epoch")
              .with("epoch", epoch)
              .with("before", before)
              .with("call", call)
              .with("status", status));
    }
  }

  /** Sets the time since the local copy of a topic was last confirmed, milliseconds. */
  void onAge(String topic, long millis) {
    age.labelValues(topic).set(millis / 1_000.0);
  }

  /** Sets the number of zones out of service. */
  void onEvacuatedZones(int zones) {
    evacuatedZones.set(zones);
  }

  /** Sets the gauges of the configuration, entries and leadership. */
  void onState(long configurationVersion, int entriesAlive, boolean leads) {
    version.set((double) configurationVersion);
    entries.set(entriesAlive);
    leading.set(leads ? 1 : 0);
  }
}
