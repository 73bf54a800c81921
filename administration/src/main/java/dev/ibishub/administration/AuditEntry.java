package dev.ibishub.administration;

import dev.ibishub.core.ResultCode;
import java.time.Instant;

/**
 * Action that an operator performed or attempted.
 *
 * @param at the time of the action, by the clock of the process that handled it
 * @param operator the name of the operator
 * @param action {@code publish}, {@code drain}, {@code undrain}, {@code evacuate} or {@code
 *     restore}
 * @param subject what the action applied to: {@code base}, {@code overlay:SITE}, {@code target:ID}
 *     or {@code zone:ZONE}
 * @param basedOnRevision for a publication, the revision that the operator edited; for an order,
 *     the revision in force
 * @param result the result code of the action
 * @param detail explanation for people; contains no secrets
 */
public record AuditEntry(
    Instant at,
    String operator,
    String action,
    String subject,
    long basedOnRevision,
    ResultCode result,
    String detail) {}
