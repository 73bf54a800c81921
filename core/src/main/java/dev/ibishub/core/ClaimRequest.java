package dev.ibishub.core;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Instant;

/**
 * A call that may run once only and that an agent wants to start.
 *
 * @param workspace the caller's workspace
 * @param key the caller's idempotency key
 * @param fingerprint of the call, from {@link #fingerprintOf}: a key may not be used for another
 * @param attemptId the attempt that runs the call if the claim is won
 * @param deadline from which on the call is no longer wanted
 */
public record ClaimRequest(
    String workspace, IdempotencyKey key, long fingerprint, String attemptId, Instant deadline) {
  /**
   * Hashes what makes two calls the same call.
   *
   * @param service the service's name
   * @param method the HTTP method
   * @param pathAndQuery the path
   * @param body the caller's bytes
   * @return the hash
   */
  public static long fingerprintOf(
      String service, String method, String pathAndQuery, byte[] body) {
    HashStream64 hash = Hashing.xxh3_64().hashStream();
    return hash.putString(service)
        .putString(method)
        .putString(pathAndQuery)
        .putByteArray(body)
        .getAsLong();
  }

  /**
   * Returns what is claimed.
   *
   * @return the workspace and the key's text
   */
  public ClaimKey claimKey() {
    return new ClaimKey(workspace, key.text());
  }
}
