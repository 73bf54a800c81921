package dev.ibishub.core;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Instant;

/**
 * A call that must run at most once and that an agent wants to start.
 *
 * @param workspace the caller's workspace
 * @param key the caller's idempotency key
 * @param fingerprint hash of the call from {@link #fingerprintOf}, by which a key that is used
 *     again for another call is refused
 * @param attemptId the attempt that runs the call if the claim is won
 * @param deadline the time from which on the caller no longer wants an answer
 */
public record ClaimRequest(
    String workspace, IdempotencyKey key, long fingerprint, String attemptId, Instant deadline) {
  /**
   * Hashes the parts of a call that must be equal for two calls to count as the same.
   *
   * @param service the service's name
   * @param method the HTTP method
   * @param pathAndQuery the path and the query
   * @param body the request body
   * @return a 64-bit hash
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

  /** Returns the key under which the call is claimed. */
  public ClaimKey claimKey() {
    return new ClaimKey(workspace, key.text());
  }
}
