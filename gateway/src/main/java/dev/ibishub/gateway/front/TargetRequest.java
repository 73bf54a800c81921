package dev.ibishub.gateway.front;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What one attempt tells its target in addition to the caller's request.
 *
 * @param targetId the intended target; another one at the same address refuses the request
 * @param leftMillis time until the request's deadline, milliseconds
 * @param workspace the workspace that the request is for; empty if unknown
 * @param lastEventId the event after which a stream resumes; empty to start it at its beginning
 * @param priority the request's priority among those that wait at the target, 0 first; empty at a
 *     target without an order
 */
public record TargetRequest(
    String targetId,
    long leftMillis,
    Optional<String> workspace,
    OptionalLong lastEventId,
    OptionalInt priority) {}
