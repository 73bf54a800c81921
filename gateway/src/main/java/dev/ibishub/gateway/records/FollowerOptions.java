package dev.ibishub.gateway.records;

import dev.ibishub.core.entries.ReadTurns;

/**
 * Topic and read timing of a {@link RecordFollower}.
 *
 * @param topic name of the log to follow
 * @param turns when each entry reads it
 */
public record FollowerOptions(String topic, ReadTurns turns) {}
