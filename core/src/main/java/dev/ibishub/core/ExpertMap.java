package dev.ibishub.core;

import java.util.Arrays;

/**
 * Which expert each physical slot of each layer holds. Every rank has the same number of slots a
 * layer; slots beyond one an expert hold replicas. Immutable, so thread-safe.
 *
 * <p>The bytes are those of the switch: layer by layer, rank by rank, slot by slot, two bytes an
 * expert, high byte first.
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
   * Makes a map from the expert of each slot.
   *
   * @param layers how many layers
   * @param ranks how many ranks
   * @param slots slots a rank and layer
   * @param experts the experts, in the order of the bytes; copied
   * @return the map
   */
  public static ExpertMap of(int layers, int ranks, int slots, short[] experts) {
    if (experts.length != layers * ranks * slots) {
      throw new IllegalArgumentException("one expert a slot is needed");
    }
    return new ExpertMap(layers, ranks, slots, experts.clone());
  }

  /**
   * Deals the experts out to the slots in turn, without regard to load.
   *
   * @param layers how many layers
   * @param ranks how many ranks
   * @param slots slots a rank and layer
   * @param expertCount experts a layer, at most as many as slots
   * @return the map
   */
  public static ExpertMap inTurn(int layers, int ranks, int slots, int expertCount) {
    short[] experts = new short[layers * ranks * slots];
    for (int position = 0; position < experts.length; position++) {
      experts[position] = (short) (position % (ranks * slots) % expertCount);
    }
    return new ExpertMap(layers, ranks, slots, experts);
  }

  /**
   * Reads the bytes of a switch.
   *
   * @param layers how many layers
   * @param ranks how many ranks
   * @param slots slots a rank and layer
   * @param bytes as {@link #toBytes} gives them
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

  /** Returns the bytes that ranks stage. */
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
   * Counts the slots that hold another expert than in an earlier map, each of which a rank must
   * fetch unless it holds that expert in another slot of the layer.
   *
   * @param before the earlier map, of the same shape
   * @return how many experts must be fetched
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
