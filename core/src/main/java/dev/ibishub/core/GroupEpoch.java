package dev.ibishub.core;

/** Numbers of group leaders: a counter that grows, and below it a tag of the leader's process. */
public final class GroupEpoch {
  /** The highest epoch: leaves room for the number of a map within its epoch. */
  public static final long MAXIMUM = 1L << 46;

  private static final int TAG_BITS = 24;

  private GroupEpoch() {}

  /**
   * Numbers a new leader. Two processes that start from the same highest epoch get different
   * numbers but for one chance in 2^24, by the tag.
   *
   * @param highestSeen the highest epoch known from any rank
   * @param processIncarnation drawn anew at each start of the leader's process
   * @return an epoch above {@code highestSeen}
   */
  public static long next(long highestSeen, long processIncarnation) {
    long tag = processIncarnation & ((1L << TAG_BITS) - 1);
    return (((highestSeen >> TAG_BITS) + 1) << TAG_BITS) | tag;
  }
}
