package dev.ibishub.core;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * What is claimed: workspaces do not see each other's keys.
 *
 * @param workspace the caller's workspace
 * @param key the text of its idempotency key
 */
public record ClaimKey(String workspace, String key) {
  /**
   * Returns the stream that this key's claims go to. Were two agents to look at different streams,
   * both would win, so the hash is one that no release of the JVM changes.
   *
   * @param buckets how many streams there are
   * @return the number of one, from 0
   */
  public int bucket(int buckets) {
    long hash = Hashing.xxh3_64().hashStream().putString(workspace).putString(key).getAsLong();
    return (int) Long.remainderUnsigned(hash, buckets);
  }
}
