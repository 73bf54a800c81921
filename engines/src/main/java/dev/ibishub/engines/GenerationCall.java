package dev.ibishub.engines;

import java.time.Instant;

/**
 * A request to an engine to generate one answer.
 *
 * @param streamId the unique id of the answer
 * @param model the model's name
 * @param adapter the adapter's name, or empty
 * @param version the version, or empty for any
 * @param chat whether the body is a chat request, else a plain completion
 * @param body the caller's JSON
 * @param maximumTokens the maximum number of tokens to generate
 * @param priority the priority; higher values run first
 * @param deadline the time after which the answer is no longer wanted
 */
@SuppressWarnings("ArrayRecordComponent") // Only passed on, never compared or hashed.
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
