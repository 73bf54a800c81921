package dev.ibishub.gateway.model;

import java.util.Optional;

/**
 * A service to which routes send requests.
 *
 * @param name name of the service
 * @param engine profile of its model engines; empty for a service without engines
 */
public record Service(String name, Optional<EngineProfile> engine) {}
