package dev.ibishub.gateway.experts;

import dev.ibishub.core.ranks.TokenSource;
import java.time.InstantSource;

/**
 * Fencing tokens made of the time of day, so that a later leader's are higher without any store.
 * The clocks of two VMs may differ; a leader that is refused because of that raises its own by more
 * than they usually do. Thread-safe by one lock.
 */
final class FencingTokens implements TokenSource {
  /** Leaders that can begin a switch in one millisecond without the same token. */
  private static final long SALTS = 64;

  private static final long PER_MILLI = SALTS * PER_SWITCH;

  /** How far a leader that was refused moves ahead at first, doubling, milliseconds. */
  private static final long FIRST_RAISE_MILLIS = 2_000;

  private final InstantSource clock;
  private final long salt;
  private long last;
  private long raiseMillis = FIRST_RAISE_MILLIS;
  private long aheadMillis;

  /**
   * Creates a source.
   *
   * @param salt any number; different ones of two leaders keep their tokens apart
   */
  FencingTokens(InstantSource clock, long salt) {
    this.clock = clock;
    this.salt = Math.floorMod(salt, SALTS);
  }

  @Override
  public synchronized long next() {
    long ofNow = (clock.millis() + aheadMillis) * PER_MILLI + salt * PER_SWITCH;
    last = Math.max(last + PER_MILLI, ofNow);
    return last;
  }

  @Override
  public synchronized void outbid() {
    aheadMillis += raiseMillis;
    raiseMillis *= 2;
  }
}
