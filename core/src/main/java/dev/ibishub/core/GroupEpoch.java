package dev.ibishub.core;

/**
 * Epochs of group leaders: a counter in the high bits, and a tag of the leader's process in the low
 * bits.
 */
public final class GroupEpoch {
  /** Exclusive upper bound of epochs, which leaves room to derive map versions from an epoch. */
  public static final long MAXIMUM = 1L << 46;

  private static final int TAG_BITS = 24;

  private GroupEpoch() {}

  /**
   * Returns an epoch for a new leader. Two processes that start from the same highest epoch get
   * different epochs unless their tags collide, which has a probability of 1 in 2^24.
   *
   * @param highestSeen the highest epoch known from any rank
   * @param processIncarnation random number drawn at each start of the leader's process
   * @return an epoch above {@code highestSeen}
   */
  public static long next(long highestSeen, long processIncarnation) {
    long tag = processIncarnation & ((1L << TAG_BITS) - 1);
    return (((highestSeen >> TAG_BITS) + 1) << TAG_BITS) | tag;
  }
}
