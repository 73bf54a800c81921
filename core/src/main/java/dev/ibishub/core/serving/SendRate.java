package dev.ibishub.core.serving;

/**
 * The rate at which this entry has recently sent requests to a service. Thread-safe by one lock.
 *
 * <p>Sends count less the older they are, so the rate follows a burst and stays steady between two
 * requests of an entry that sends only a few per second.
 */
public final class SendRate {
  /**
   * Time after which a send counts 1/e, milliseconds. At the 5 to 10 requests per second of an
   * entry, a shorter time would make the rate follow chance rather than load.
   */
  private static final double DECAY_MILLIS = 2_000;

  private double decayedSends;
  private long countedAt;

  /** Counts a request that this entry sends. */
  public synchronized void onSent(long now) {
    decayedSends = decayedSends(now) + 1;
    countedAt = now;
  }

  /** Returns the rate, requests per millisecond. */
  public synchronized double perMilli(long now) {
    return decayedSends(now) / DECAY_MILLIS;
  }

  private double decayedSends(long now) {
    return decayedSends * Math.exp(-(now - countedAt) / DECAY_MILLIS);
  }
}
