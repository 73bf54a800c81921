package dev.ibishub.gateway.http;

import java.util.Map;
import java.util.Objects;

/**
 * A call to an outside system.
 *
 * @param host IP number
 * @param port port
 * @param method HTTP method
 * @param pathAndQuery the target of the request line
 * @param headers headers besides {@code Host} and {@code Content-Length}
 * @param body the body; empty for none
 * @param timeoutMillis how long to wait for the whole answer, milliseconds
 */
@SuppressWarnings("ArrayRecordComponent") // Handed on, never compared or hashed.
public record HttpCall(
    String host,
    int port,
    String method,
    String pathAndQuery,
    Map<String, String> headers,
    byte[] body,
    long timeoutMillis) {
  /** Copies the headers. */
  public HttpCall {
    Objects.requireNonNull(host);
    headers = Map.copyOf(headers);
  }

  /** Returns a call without body and headers. */
  public static HttpCall get(String host, int port, String pathAndQuery, long timeoutMillis) {
    return new HttpCall(host, port, "GET", pathAndQuery, Map.of(), new byte[0], timeoutMillis);
  }
}
