package dev.ibishub.engines;

import java.util.List;
import java.util.Map;

/**
 * The answer of a plain service.
 *
 * @param status the HTTP status
 * @param headers the end-to-end headers only
 * @param body the bytes of the body
 */
@SuppressWarnings("ArrayRecordComponent") // Only passed on, never compared or hashed.
public record ServiceAnswer(int status, Map<String, List<String>> headers, byte[] body) {}
