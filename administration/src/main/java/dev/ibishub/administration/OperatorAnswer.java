package dev.ibishub.administration;

import dev.ibishub.core.ResultCode;
import java.time.Instant;
import java.util.Optional;

/**
 * Response of the operator API.
 *
 * @param code the result code, which also determines the HTTP status
 * @param contentType {@code application/json}, or {@code application/problem+json} for errors
 * @param body the JSON body
 * @param retryAt the earliest time to retry, for errors that give one
 */
public record OperatorAnswer(
    ResultCode code, String contentType, String body, Optional<Instant> retryAt) {}
