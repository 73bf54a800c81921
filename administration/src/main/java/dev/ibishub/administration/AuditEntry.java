package dev.ibishub.administration;

import dev.ibishub.core.ResultCode;
import java.time.Instant;

/**
 * One thing that an operator did or tried.
 *
 * @param at when, by the entry's clock
 * @param operator who
 * @param action {@code publish}, {@code drain} or {@code undrain}
 * @param subject what it was about: {@code base}, {@code overlay:SITE} or {@code target:ID}
 * @param basedOnRevision the revision that the operator saw, or the one in force for an order
 * @param result what came of it
 * @param detail more for people; holds no secret
 */
public record AuditEntry(
    Instant at,
    String operator,
    String action,
    String subject,
    long basedOnRevision,
    ResultCode result,
    String detail) {}
