package dev.ibishub.node;

import com.google.common.flogger.FluentLogger;
import dev.ibishub.gateway.model.ServingConfiguration;
import dev.ibishub.gateway.records.KeyedRecord;
import dev.ibishub.platform.ConfigurationDecoder;
import dev.ibishub.runtime.LogEvent;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The configuration in force: the highest version that could be decoded. Thread-safe. Used on the
 * users' platform; behind ibishub's own interface, {@code dev.ibishub.core.ConfigurationReader}
 * determines it.
 */
final class CurrentConfiguration {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final AtomicReference<ServingConfiguration> inForce = new AtomicReference<>();

  /** Returns the configuration in force; empty until the first one is known. */
  Optional<ServingConfiguration> get() {
    return Optional.ofNullable(inForce.get());
  }

  /** Puts a record's configuration in force if its version is higher than the current one. */
  void onRecord(KeyedRecord record) {
    if (record.value().isEmpty()) {
      logger.atWarning().log("%s", LogEvent.of("configuration.dropped").with("key", record.key()));
      return;
    }
    try {
      ServingConfiguration decoded = ConfigurationDecoder.decode(record.value().get());
      ServingConfiguration effective =
          inForce.accumulateAndGet(
              decoded,
              (before, next) ->
                  before != null && before.version() >= next.version() ? before : next);
      logger.atInfo().log(
          "%s",
          LogEvent.of(
                  effective.version() == decoded.version()
                      ? "configuration.applied"
                      : "configuration.older")
              .with("version", decoded.version())
              .with("in_force", effective.version())
              .with("epoch", record.position().epoch())
              .with("offset", record.position().offset())
              .with("hosts", decoded.routesByHost().size())
              .with("keys", decoded.workspacesByKey().size()));
    } catch (IOException | IllegalArgumentException e) {
      logger.atWarning().withCause(e).log(
          "%s", LogEvent.of("configuration.unreadable").with("offset", record.position().offset()));
    }
  }
}
