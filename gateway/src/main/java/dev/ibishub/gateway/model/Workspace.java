package dev.ibishub.gateway.model;

import java.util.OptionalInt;

/**
 * A customer.
 *
 * @param name its name
 * @param priority rank of its requests, 0 first, which goes before the route's where it is given
 */
public record Workspace(String name, OptionalInt priority) {}
