package dev.ibishub.engines;

import java.time.Instant;

/**
 * One answer to generate.
 *
 * @param streamId unique name of the answer
 * @param model the model's name
 * @param adapter the adapter's name, or empty
 * @param version the version, or empty for any
 * @param chat whether the body has the shape of a chat
 * @param body the caller's JSON
 * @param maximumTokens the most tokens wanted
 * @param priority higher runs first
 * @param deadline after which the answer is no longer wanted
 */
@SuppressWarnings("ArrayRecordComponent") // Handed on, never compared or hashed.
public record GenerationCall(
    String streamId,
    String model,
    String adapter,
    String version,
    boolean chat,
    byte[] body,
    int maximumTokens,
    int priority,
    Instant deadline) {}
