package dev.ibishub.core;

import java.util.Arrays;

/**
 * Expert held by each physical slot of each layer. Every rank has the same number of slots in each
 * layer; slots in excess of the number of experts hold replicas. Immutable and thread-safe. It is
 * used when ibishub runs behind its own interface; {@code dev.ibishub.core.ranks.GroupMap} is its
 * counterpart on the platform of its users.
 *
 * <p>The serialized form is the one sent to ranks: ordered by layer, rank and slot, two bytes for
 * each expert, big-endian.
 */
public final class ExpertMap {
  private final int layers;
  private final int ranks;
  private final int slots;
  private final short[] experts;

  private ExpertMap(int layers, int ranks, int slots, short[] experts) {
    this.layers = layers;
    this.ranks = ranks;
    this.slots = slots;
    this.experts = experts;
  }

  /**
   * Creates a map from the expert in each slot.
   *
   * @param layers number of layers
   * @param ranks number of ranks
   * @param slots number of slots of a rank in each layer
   * @param experts the experts in the order of the serialized form; copied
   * @return the map
   */
  public static ExpertMap of(int layers, int ranks, int slots, short[] experts) {
    if (experts.length != layers * ranks * slots) {
      throw new IllegalArgumentException("experts must have one entry for each slot");
    }
    return new ExpertMap(layers, ranks, slots, experts.clone());
  }

  /**
   * Creates a map that assigns the experts to the slots round-robin, regardless of load.
   *
   * @param layers number of layers
   * @param ranks number of ranks
   * @param slots number of slots of a rank in each layer
   * @param expertCount number of experts in each layer, at most the number of slots of all ranks
   * @return the map
   */
  public static ExpertMap roundRobin(int layers, int ranks, int slots, int expertCount) {
    short[] experts = new short[layers * ranks * slots];
    for (int position = 0; position < experts.length; position++) {
      experts[position] = (short) (position % (ranks * slots) % expertCount);
    }
    return new ExpertMap(layers, ranks, slots, experts);
  }

  /**
   * Deserializes a map.
   *
   * @param layers number of layers
   * @param ranks number of ranks
   * @param slots number of slots of a rank in each layer
   * @param bytes the form returned by {@link #toBytes}
   * @return the map
   */
  public static ExpertMap fromBytes(int layers, int ranks, int slots, byte[] bytes) {
    short[] experts = new short[bytes.length / 2];
    for (int position = 0; position < experts.length; position++) {
      experts[position] =
          (short) ((bytes[2 * position] & 0xff) << 8 | (bytes[2 * position + 1] & 0xff));
    }
    return of(layers, ranks, slots, experts);
  }

  /** Returns the serialized form of this map, as sent to ranks for staging. */
  public byte[] toBytes() {
    byte[] bytes = new byte[experts.length * 2];
    for (int position = 0; position < experts.length; position++) {
      bytes[2 * position] = (byte) (experts[position] >> 8);
      bytes[2 * position + 1] = (byte) experts[position];
    }
    return bytes;
  }

  public int layers() {
    return layers;
  }

  public int ranks() {
    return ranks;
  }

  public int slots() {
    return slots;
  }

  /** Returns the expert in a slot. */
  public int expert(int layer, int rank, int slot) {
    return experts[(layer * ranks + rank) * slots + slot];
  }

  /**
   * Returns how many experts the ranks must fetch to switch from an earlier map to this one. An
   * expert that a rank already holds in another slot of the same layer needs no fetch.
   *
   * @param before the earlier map, with the same dimensions
   * @return number of experts to fetch
   */
  public long fetchesFrom(ExpertMap before) {
    long fetches = 0;
    for (int start = 0; start < experts.length; start += slots) {
      for (int slot = 0; slot < slots; slot++) {
        short wanted = experts[start + slot];
        boolean held = false;
        for (int other = 0; other < slots && !held; other++) {
          held = before.experts[start + other] == wanted;
        }
        fetches += held ? 0 : 1;
      }
    }
    return fetches;
  }

  short[] copyOfExperts() {
    return Arrays.copyOf(experts, experts.length);
  }
}
