package dev.ibishub.gateway.model;

import java.util.Optional;

/**
 * A service to which routes send requests.
 *
 * @param name name of the service
 * @param engine profile of its model engines; empty for a service without engines
 * @param coldRequestsPerSecond requests a second that a cold target tolerates from all entries
 *     together; 0 if cold targets have no limit
 */
public record Service(String name, Optional<EngineProfile> engine, double coldRequestsPerSecond) {
  /** Creates a service whose cold targets have no limit. */
  public Service(String name, Optional<EngineProfile> engine) {
    this(name, engine, 0);
  }
}
