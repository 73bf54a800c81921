package dev.ibishub.gateway.model;

import java.util.OptionalInt;

/**
 * A customer, whose callers authenticate with the workspace's keys.
 *
 * @param name name of the workspace
 * @param priority priority of its requests, 0 being the highest; overrides the route's if present
 */
public record Workspace(String name, OptionalInt priority) {}
