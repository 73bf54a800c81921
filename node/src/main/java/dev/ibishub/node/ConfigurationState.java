package dev.ibishub.node;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.gateway.model.ServingConfiguration;
import dev.ibishub.gateway.records.KeyedRecord;
import dev.ibishub.platform.ConfigurationDecoder;
import dev.ibishub.runtime.LogEvent;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/** The configuration in force: the highest version that could be read. Thread-safe. */
final class ConfigurationState {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final AtomicReference<ServingConfiguration> inForce = new AtomicReference<>();

  Optional<ServingConfiguration> get() {
    return Optional.ofNullable(inForce.get());
  }

  /** Puts what the operator wrote in force, unless it is older than what is. */
  void onRecord(KeyedRecord record) {
    if (record.value().isEmpty()) {
      logger.atWarning().log("%s", LogEvent.of("configuration.dropped").with("key", record.key()));
      return;
    }
    try {
      ServingConfiguration read = ConfigurationDecoder.decode(record.value().get());
      ServingConfiguration now =
          inForce.accumulateAndGet(
              read,
              (before, next) ->
                  before != null && before.version() >= next.version() ? before : next);
      logger.atInfo().log(
          "%s",
          LogEvent.of(
                  now.version() == read.version() ? "configuration.applied" : "configuration.older")
              .with("version", read.version())
              .with("in_force", now.version())
              .with("offset", record.offset())
              .with("hosts", read.routesByHost().size())
              .with("keys", read.workspacesByKey().size()));
    } catch (IOException | IllegalArgumentException e) {
      logger.atWarning().withCause(e).log(
          "%s", LogEvent.of("configuration.unreadable").with("offset", record.offset()));
    }
  }
}
