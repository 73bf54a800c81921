package dev.ibishub.core;

/**
 * A claim as a record of the log.
 *
 * @param owner the agent that claims the call
 * @param workspace the caller's workspace
 * @param key the caller's idempotency key
 * @param fingerprint hash of the call, see {@link ClaimRequest#fingerprintOf}
 */
public record ClaimRecord(
    ProcessIncarnation owner, String workspace, IdempotencyKey key, long fingerprint) {
  /** Returns the key under which the call is claimed. */
  public ClaimKey claimKey() {
    return new ClaimKey(workspace, key.text());
  }
}
