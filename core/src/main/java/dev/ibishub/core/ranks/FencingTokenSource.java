package dev.ibishub.core.ranks;

/** Source of fencing tokens. */
public interface FencingTokenSource {
  /** Number of consecutive tokens reserved for one switch. */
  int TOKENS_PER_SWITCH = 4;

  /**
   * Returns the first of {@link #TOKENS_PER_SWITCH} tokens that are higher than all earlier ones,
   * including those of other leaders as far as they are known.
   */
  long next();

  /** Records that another leader has used a higher token, so that the next one exceeds it. */
  void onHigherTokenSeen();
}
