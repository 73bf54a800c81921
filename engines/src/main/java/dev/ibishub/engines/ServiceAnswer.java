package dev.ibishub.engines;

import java.util.List;
import java.util.Map;

/**
 * What a plain service answered.
 *
 * @param status the HTTP status
 * @param headers end-to-end headers only
 * @param body the service's bytes
 */
@SuppressWarnings("ArrayRecordComponent") // Handed on, never compared or hashed.
public record ServiceAnswer(int status, Map<String, List<String>> headers, byte[] body) {}
