package dev.ibishub.outbound;

/**
 * The JSON body of an answer that refuses a call.
 *
 * @param error name of a result code, as in {@code docs/RESULT-CODES.md}
 * @param detail for people
 * @param retryAfterMillis after how many milliseconds another try makes sense, 0 for unsaid
 */
public record ErrorBody(String error, String detail, long retryAfterMillis) {}
