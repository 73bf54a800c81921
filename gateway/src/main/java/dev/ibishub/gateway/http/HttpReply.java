package dev.ibishub.gateway.http;

import java.util.Map;

/**
 * The answer of an outside system.
 *
 * @param status HTTP status
 * @param headers the headers, names in lower case
 * @param body the whole body
 */
@SuppressWarnings("ArrayRecordComponent") // Handed on, never compared or hashed.
public record HttpReply(int status, Map<String, String> headers, byte[] body) {
  /** Whether the status says success. */
  public boolean isSuccess() {
    return status >= 200 && status < 300;
  }
}
