package dev.ibishub.engines;

import java.time.Instant;
import java.util.List;
import java.util.Map;

/**
 * A call to a plain service.
 *
 * @param requestId identifies the call in the logs of both sides
 * @param method the HTTP method
 * @param pathAndQuery the path and query, starting with a slash
 * @param headers the caller's headers; only end-to-end headers are sent
 * @param body the bytes of the caller's body
 * @param deadline the time after which the answer is no longer wanted
 */
@SuppressWarnings("ArrayRecordComponent") // Only passed on, never compared or hashed.
public record ServiceRequest(
    String requestId,
    String method,
    String pathAndQuery,
    Map<String, List<String>> headers,
    byte[] body,
    Instant deadline) {}
