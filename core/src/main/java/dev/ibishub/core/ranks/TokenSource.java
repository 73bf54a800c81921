package dev.ibishub.core.ranks;

/** Gives fencing tokens. */
public interface TokenSource {
  /** Tokens that one switch may use from the one that it was given on. */
  int PER_SWITCH = 4;

  /**
   * Returns the first of {@link #PER_SWITCH} tokens that are higher than all before, also those of
   * other leaders as far as can be told.
   */
  long next();

  /** Notes that some other leader used a higher one, so that the next is higher than that too. */
  void outbid();
}
