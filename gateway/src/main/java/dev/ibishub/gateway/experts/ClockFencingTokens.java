package dev.ibishub.gateway.experts;

import dev.ibishub.core.ranks.FencingTokenSource;
import java.time.InstantSource;

/**
 * Fencing tokens derived from the time of day, so that a later leader's are higher without a shared
 * store. The clocks of two VMs may differ; a leader whose token was refused therefore advances its
 * tokens by more than clocks usually differ. Thread-safe by one lock.
 *
 * <p>Used on the platform of ibishub's users; the counterpart behind ibishub's own interface is
 * {@code dev.ibishub.agent.FencingTokens}.
 */
final class ClockFencingTokens implements FencingTokenSource {
  /**
   * Number of leaders that can each begin a switch in the same millisecond with different tokens.
   */
  private static final long SALT_COUNT = 64;

  private static final long TOKENS_PER_MILLI = SALT_COUNT * TOKENS_PER_SWITCH;

  /**
   * How far a leader advances its tokens after the first refusal, milliseconds; doubles each time.
   */
  private static final long FIRST_ADVANCE_MILLIS = 2_000;

  private final InstantSource clock;
  private final long salt;
  private long lastToken;
  private long nextAdvanceMillis = FIRST_ADVANCE_MILLIS;
  private long advanceMillis;

  /**
   * Creates a source.
   *
   * @param clock the time of day
   * @param salt any number; leaders whose salts differ modulo 64 never use the same token
   */
  ClockFencingTokens(InstantSource clock, long salt) {
    this.clock = clock;
    this.salt = Math.floorMod(salt, SALT_COUNT);
  }

  @Override
  public synchronized long next() {
    long tokenOfNow =
        (clock.millis() + advanceMillis) * TOKENS_PER_MILLI + salt * TOKENS_PER_SWITCH;
    lastToken = Math.max(lastToken + TOKENS_PER_MILLI, tokenOfNow);
    return lastToken;
  }

  @Override
  public synchronized void onHigherTokenSeen() {
    advanceMillis += nextAdvanceMillis;
    nextAdvanceMillis *= 2;
  }
}
