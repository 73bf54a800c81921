package dev.ibishub.core;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * The key under which a call is claimed. Equal idempotency keys of two workspaces are different
 * claim keys.
 *
 * @param workspace the caller's workspace
 * @param key the text of the caller's idempotency key
 */
public record ClaimKey(String workspace, String key) {
  /**
   * Returns the log stream for the claims of this key. All agents must choose the same stream, or
   * two of them could win the same key, so the hash does not depend on the release of the JVM.
   *
   * @param buckets number of streams
   * @return the index of a stream, from 0
   */
  public int bucket(int buckets) {
    long hash = Hashing.xxh3_64().hashStream().putString(workspace).putString(key).getAsLong();
    return (int) Long.remainderUnsigned(hash, buckets);
  }
}
