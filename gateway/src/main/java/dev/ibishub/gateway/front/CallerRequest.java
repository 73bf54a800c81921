package dev.ibishub.gateway.front;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a caller's headers say.
 *
 * @param attemptId the id that the caller gave this attempt; empty text where it gave none
 * @param waitMillis how long the caller will wait, milliseconds
 * @param key the key that it shows
 * @param lastEventId the last event of a stream that it has
 */
public record CallerRequest(
    String attemptId, OptionalLong waitMillis, Optional<String> key, OptionalLong lastEventId) {}
