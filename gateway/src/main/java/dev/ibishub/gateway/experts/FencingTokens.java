package dev.ibishub.gateway.experts;

import dev.ibishub.core.ranks.TokenSource;
import java.time.InstantSource;

/**
 * Fencing tokens made of the time of day, so that a later leader's are higher without any store.
 * The clocks of two VMs may differ; a leader that is refused because of that raises its own by more
 * than they usually do. Thread-safe by one lock.
 */
final class FencingTokens implements TokenSource {
  /** Tokens of one millisecond. */
  private static final long PER_MILLI = 256;

  /** How far a leader that was refused moves ahead at first, doubling, milliseconds. */
  private static final long FIRST_RAISE_MILLIS = 2_000;

  private final InstantSource clock;
  private long last;
  private long raiseMillis = FIRST_RAISE_MILLIS;
  private long aheadMillis;

  FencingTokens(InstantSource clock) {
    this.clock = clock;
  }

  @Override
  public synchronized long next() {
    last = Math.max(last + 1, (clock.millis() + aheadMillis) * PER_MILLI);
    return last;
  }

  @Override
  public synchronized void outbid() {
    aheadMillis += raiseMillis;
    raiseMillis *= 2;
  }
}
