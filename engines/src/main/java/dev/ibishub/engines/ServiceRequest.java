package dev.ibishub.engines;

import java.time.Instant;
import java.util.List;
import java.util.Map;

/**
 * A call of a plain service.
 *
 * @param requestId names the call in logs of both sides
 * @param method the HTTP method
 * @param pathAndQuery from the slash on
 * @param headers end-to-end headers only
 * @param body the caller's bytes
 * @param deadline after which the answer is no longer wanted
 */
@SuppressWarnings("ArrayRecordComponent") // Handed on, never compared or hashed.
public record ServiceRequest(
    String requestId,
    String method,
    String pathAndQuery,
    Map<String, List<String>> headers,
    byte[] body,
    Instant deadline) {}
