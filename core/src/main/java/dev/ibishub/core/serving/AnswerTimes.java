package dev.ibishub.core.serving;

import java.util.Arrays;
import java.util.OptionalLong;

/**
 * How long a service's good answers take, seen by one entry, and from that when a second target is
 * worth asking. Thread-safe by one lock.
 *
 * <p>A target that swallows requests costs the caller the whole time of the route. Asking a second
 * one too early doubles the work for nothing, and too late it can't be in time either.
 */
public final class AnswerTimes {
  /** Answers that are looked back at; the part that is late is one in twenty of them. */
  private static final int KEPT = 64;

  /** Answers needed before anything is made of them. */
  private static final int LEAST_KNOWN = 8;

  /** Part of the good answers that have come when a second target is asked. */
  private static final double USUAL_PART = 0.95;

  private final long[] latest = new long[KEPT];
  private long seen;

  /** Notes a good answer that took this many milliseconds. */
  public synchronized void onGood(long millis) {
    latest[(int) (seen % KEPT)] = millis;
    seen++;
  }

  /**
   * Returns how long a target may be silent before a second one is asked, milliseconds: up to the
   * last moment at which a usual answer of the second would still meet the aim, and not before
   * nearly all answers have come. Empty while nothing speaks for any time.
   *
   * @param aimMillis the time within which an answer is wanted, milliseconds; 0 for none
   */
  public synchronized OptionalLong silenceMillis(long aimMillis) {
    if (seen < LEAST_KNOWN) {
      return aimMillis > 0 ? OptionalLong.of(aimMillis / 2) : OptionalLong.empty();
    }
    long[] sorted = Arrays.copyOf(latest, (int) Math.min(seen, KEPT));
    Arrays.sort(sorted);
    long median = sorted[sorted.length / 2];
    long usual = sorted[(int) (sorted.length * USUAL_PART)];
    return OptionalLong.of(Math.max(usual, aimMillis - median));
  }
}
