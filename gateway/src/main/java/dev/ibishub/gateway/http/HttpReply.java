package dev.ibishub.gateway.http;

import java.util.Map;

/**
 * Response of an external system.
 *
 * @param status HTTP status
 * @param headers the headers, with their names in lower case
 * @param body the whole body
 */
@SuppressWarnings("ArrayRecordComponent") // Handed on, never compared or hashed.
public record HttpReply(int status, Map<String, String> headers, byte[] body) {
  /** Whether the status is a 2xx. */
  public boolean isSuccess() {
    return status >= 200 && status < 300;
  }
}
