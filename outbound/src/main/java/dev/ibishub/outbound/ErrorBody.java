package dev.ibishub.outbound;

/**
 * The JSON body of an error response.
 *
 * @param error the name of a result code, as in {@code docs/RESULT-CODES.md}
 * @param detail a human-readable explanation
 * @param retryAfterMillis the delay before a retry in milliseconds, 0 if unspecified
 */
public record ErrorBody(String error, String detail, long retryAfterMillis) {}
