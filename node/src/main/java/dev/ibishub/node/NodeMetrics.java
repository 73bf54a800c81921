package dev.ibishub.node;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Metrics of an entry other than those of requests. Thread-safe. */
final class NodeMetrics {
  private final Counter storeCalls;
  private final Counter readTurns;

  private final Gauge age;
  private final Gauge version;
  private final Gauge entries;
  private final Gauge leading;
  private final Gauge evacuatedZones;

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
   */
  void onStoreCall(String call, int status) {
    storeCalls.labelValues(call, Integer.toString(status)).inc();
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
