package dev.ibishub.gateway.model;

/**
 * Limits for callers' requests and connections.
 *
 * @param maximumHeaderBytes maximum size of the request line and headers, bytes
 * @param maximumBodyBytes maximum size of a request body, bytes
 * @param headerTimeoutMillis time within which a request's headers have to arrive, and time after
 *     which a body of which nothing more arrives is given up, milliseconds
 * @param requestTimeoutMillis time within which a request's body has to arrive, milliseconds
 * @param idleTimeoutMillis time after which an idle connection is closed, milliseconds
 */
public record CallerLimits(
    int maximumHeaderBytes,
    int maximumBodyBytes,
    long headerTimeoutMillis,
    long requestTimeoutMillis,
    long idleTimeoutMillis) {
  /** Creates limits without one for the whole time that a body takes to arrive. */
  public CallerLimits(
      int maximumHeaderBytes,
      int maximumBodyBytes,
      long headerTimeoutMillis,
      long idleTimeoutMillis) {
    this(
        maximumHeaderBytes,
        maximumBodyBytes,
        headerTimeoutMillis,
        Long.MAX_VALUE,
        idleTimeoutMillis);
  }

  /** Limits that apply until a configuration is known. */
  public static final CallerLimits DEFAULTS = new CallerLimits(16_384, 4 << 20, 3_000, 15_000);
}
