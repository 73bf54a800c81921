package dev.ibishub.core;

/**
 * One claim as it stands on the log.
 *
 * @param owner the agent that wants to run the call
 * @param workspace the caller's workspace
 * @param key the caller's idempotency key
 * @param fingerprint of the call, see {@link ClaimRequest}
 */
public record ClaimRecord(
    ProcessIncarnation owner, String workspace, IdempotencyKey key, long fingerprint) {
  /**
   * Returns what is claimed.
   *
   * @return the workspace and the key's text
   */
  public ClaimKey claimKey() {
    return new ClaimKey(workspace, key.text());
  }
}
