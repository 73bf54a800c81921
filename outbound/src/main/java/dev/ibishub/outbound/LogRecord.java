package dev.ibishub.outbound;

import java.time.Instant;

/**
 * One record of the log.
 *
 * @param offset position in its stream
 * @param appendedAt when the log service took it, by the service's clock
 * @param payload the bytes appended; not to be changed
 */
@SuppressWarnings("ArrayRecordComponent") // Records are handed on, never compared or hashed.
public record LogRecord(long offset, Instant appendedAt, byte[] payload) {}
