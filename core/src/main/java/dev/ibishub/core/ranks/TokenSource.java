package dev.ibishub.core.ranks;

/** Gives fencing tokens. */
public interface TokenSource {
  /** Returns a token higher than all before. */
  long next();

  /** Notes that some other leader used a higher one, so that the next is higher than that too. */
  void outbid();
}
