package dev.ibishub.outbound;

import java.time.Instant;

/**
 * One record of the log.
 *
 * @param offset the position in its stream
 * @param appendedAt when the log service appended the record, by the service's clock
 * @param payload the bytes appended; must not be modified
 */
@SuppressWarnings("ArrayRecordComponent") // Only passed on, never compared or hashed.
public record LogRecord(long offset, Instant appendedAt, byte[] payload) {}
