package dev.ibishub.gateway.model;

/**
 * What a caller may send.
 *
 * @param maximumHeaderBytes most bytes of a request's line and headers
 * @param maximumBodyBytes most bytes of a request's body
 * @param headerTimeoutMillis the longest that a request's headers may take, milliseconds
 * @param idleTimeoutMillis the longest that a connection may stay idle, milliseconds
 */
public record CallerLimits(
    int maximumHeaderBytes,
    int maximumBodyBytes,
    long headerTimeoutMillis,
    long idleTimeoutMillis) {
  /** What holds until a configuration is known. */
  public static final CallerLimits DEFAULTS = new CallerLimits(16_384, 4 << 20, 3_000, 15_000);
}
