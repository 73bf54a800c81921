package dev.ibishub.administration;

import dev.ibishub.core.ResultCode;
import java.time.Instant;
import java.util.Optional;

/**
 * An answer of the operator API.
 *
 * @param code the result; its HTTP status is the answer's
 * @param contentType {@code application/json}, or {@code application/problem+json} for refusals
 * @param body JSON
 * @param retryAt when to come back, for refusals that say so
 */
public record OperatorAnswer(
    ResultCode code, String contentType, String body, Optional<Instant> retryAt) {}
