package dev.ibishub.gateway.model;

import java.util.Optional;

/**
 * A service that routes lead to.
 *
 * @param name its name
 * @param engine the figures of its engines, where it has any
 */
public record Service(String name, Optional<EngineProfile> engine) {}
