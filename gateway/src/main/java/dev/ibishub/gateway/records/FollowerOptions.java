package dev.ibishub.gateway.records;

import dev.ibishub.core.entries.ReadTurns;
import java.util.function.Supplier;

/**
 * Topic and read timing of a {@link RecordFollower}.
 *
 * @param topic name of the log to follow
 * @param turns when each entry reads it; may change at any time
 */
public record FollowerOptions(String topic, Supplier<ReadTurns> turns) {}
