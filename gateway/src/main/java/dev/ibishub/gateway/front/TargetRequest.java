package dev.ibishub.gateway.front;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What one attempt tells its target besides what the caller sent.
 *
 * @param targetId the target that is meant; another one at the same address refuses
 * @param leftMillis time until the request's deadline, milliseconds
 * @param workspace the workspace that the request is for
 * @param lastEventId the event after which a stream is to go on
 * @param priority the request's rank among those that wait at the target, 0 first
 */
public record TargetRequest(
    String targetId,
    long leftMillis,
    Optional<String> workspace,
    OptionalLong lastEventId,
    OptionalInt priority) {}
