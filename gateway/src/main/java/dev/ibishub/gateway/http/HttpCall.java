package dev.ibishub.gateway.http;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * HTTP request to an external system.
 *
 * @param host IP address
 * @param port port
 * @param method HTTP method
 * @param pathAndQuery path and query of the request line
 * @param headers headers besides {@code Host} and {@code Content-Length}
 * @param body the body; empty for none
 * @param timeoutMillis timeout for the whole response, milliseconds
 * @param maximumReplyBytes size of the longest accepted response body, bytes
 * @param identification how the response to the call is told from those to other calls; empty for a
 *     system that answers each call once
 */
@SuppressWarnings("ArrayRecordComponent") // Handed on, never compared or hashed.
public record HttpCall(
    String host,
    int port,
    String method,
    String pathAndQuery,
    Map<String, String> headers,
    byte[] body,
    long timeoutMillis,
    int maximumReplyBytes,
    Optional<Identification> identification) {

  /**
   * The id of a call, which the system repeats in its response.
   *
   * @param header name of the header
   * @param isRequired whether the system must repeat it where a response to an earlier call could
   *     arrive; otherwise a system that has repeated no id on a connection may leave it out there
   */
  public record Identification(String header, boolean isRequired) {}

  /** Copies the headers. */
  public HttpCall {
    Objects.requireNonNull(host);
    Objects.requireNonNull(identification);
    headers = Map.copyOf(headers);
  }

  /** Returns a GET request without headers and body. */
  public static HttpCall get(
      String host, int port, String pathAndQuery, long timeoutMillis, int maximumReplyBytes) {
    return new HttpCall(
        host,
        port,
        "GET",
        pathAndQuery,
        Map.of(),
        new byte[0],
        timeoutMillis,
        maximumReplyBytes,
        Optional.empty());
  }

  /** Returns this call with an id. */
  public HttpCall identifiedBy(Identification identified) {
    return new HttpCall(
        host,
        port,
        method,
        pathAndQuery,
        headers,
        body,
        timeoutMillis,
        maximumReplyBytes,
        Optional.of(identified));
  }
}
